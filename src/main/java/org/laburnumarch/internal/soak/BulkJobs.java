package org.laburnumarch.internal.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.PlatformStandIn;
import org.laburnumarch.internal.time.SuspendAwareClock;

/** Submits jobs of many small tasks, and one long-running job. */
final class BulkJobs extends RandomJobs {

  private static final long SUBMIT_INTERVAL_MS = 250;
  private static final int TASKS_PER_JOB = 80;
  private static final Resources NEED = new Resources(80, 100, 0);
  private static final long RUN_MS = 640;

  /** One in this many jobs has a second step that waits for the first one. */
  private static final int ONE_DEPENDENT_STEP_IN = 4;

  /** One in this many jobs is cancelled. */
  private static final int ONE_CANCELLATION_IN = 8;

  private static final int MAX_CANCEL_DELAY_MS = 8_000;

  BulkJobs(Random random, SuspendAwareClock clock) {
    super(random, clock, SUBMIT_INTERVAL_MS);
  }

  @Override
  public List<JobSpec> next(long elapsedMs) {
    boolean isLongRunning = drawnIds() == 0;
    List<StepSpec> steps = new ArrayList<>();
    if (isLongRunning) {
      steps.add(StepSpec.ofLongRunningTasks(4, new Resources(500, 1_000, 0), "", 0, 1));
    } else {
      steps.add(StepSpec.ofTasks(TASKS_PER_JOB, NEED, RUN_MS, List.of()));
      if (random.nextInt(ONE_DEPENDENT_STEP_IN) == 0) {
        steps.add(StepSpec.ofTasks(TASKS_PER_JOB / 4, NEED, RUN_MS, List.of(0)));
      }
    }
    String id = nextId();
    String team = nextTeam();
    String queue = isLongRunning ? PlatformStandIn.LONG_RUNNING_QUEUE : PlatformStandIn.BATCH_QUEUE;
    return List.of(job(id, queue, team, "soak", steps));
  }

  @Override
  public OptionalLong cancelDelayMs(JobSpec job) {
    return random.nextInt(ONE_CANCELLATION_IN) == 0
            && job.queue().equals(PlatformStandIn.BATCH_QUEUE)
        ? OptionalLong.of(random.nextInt(MAX_CANCEL_DELAY_MS))
        : OptionalLong.empty();
  }
}
