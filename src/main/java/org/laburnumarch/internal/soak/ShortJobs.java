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

/** Submits batch jobs of short tasks at a constant rate, and a few long-running jobs. */
final class ShortJobs extends RandomJobs {

  private static final long SUBMIT_INTERVAL_MS = 60;

  /** One in this many batch jobs is cancelled. */
  private static final int ONE_CANCELLATION_IN = 12;

  private static final int LONG_RUNNING_JOBS = 4;

  /** Memory that every task needs. */
  private static final long TASK_MEMORY_MB = 1_000;

  private int submittedLongRunningJobs;

  ShortJobs(Random random, SuspendAwareClock clock) {
    super(random, clock, SUBMIT_INTERVAL_MS);
  }

  @Override
  public List<JobSpec> next(long elapsedMs) {
    String id = nextId();
    String team = nextTeam();
    boolean isLongRunning = submittedLongRunningJobs < LONG_RUNNING_JOBS && drawnIds() > 5;
    List<StepSpec> steps = new ArrayList<>();
    if (isLongRunning) {
      submittedLongRunningJobs++;
      steps.add(StepSpec.ofLongRunningTasks(4, new Resources(500, TASK_MEMORY_MB, 0), "", 0, 1));
    } else {
      steps.add(batchStep(1 + random.nextInt(6), 500, 100 + random.nextInt(600)));
      if (random.nextInt(3) == 0) {
        steps.add(batchStep(1 + random.nextInt(3), 1_000, 100 + random.nextInt(300), 0));
      }
    }
    String queue = isLongRunning ? PlatformStandIn.LONG_RUNNING_QUEUE : PlatformStandIn.BATCH_QUEUE;
    return List.of(job(id, queue, team, "soak", steps));
  }

  private static StepSpec batchStep(int count, long cpuMillis, long runMs, Integer... after) {
    return StepSpec.ofTasks(
        count, new Resources(cpuMillis, TASK_MEMORY_MB, 0), runMs, List.of(after));
  }

  @Override
  public OptionalLong cancelDelayMs(JobSpec job) {
    return random.nextInt(ONE_CANCELLATION_IN) == 0
            && job.queue().equals(PlatformStandIn.BATCH_QUEUE)
        ? OptionalLong.of(random.nextInt(1_500))
        : OptionalLong.empty();
  }
}
