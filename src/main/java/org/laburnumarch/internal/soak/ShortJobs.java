package org.laburnumarch.internal.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.Random;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.PlatformStandIn;
import org.laburnumarch.internal.time.SuspendAwareClock;

/** Submits batch jobs of short tasks at a constant rate, and a few long-running jobs. */
final class ShortJobs implements JobSource {

  private static final long SUBMIT_INTERVAL_MS = 60;

  /** One in this many batch jobs is cancelled. */
  private static final int ONE_CANCELLATION_IN = 12;

  private static final int LONG_RUNNING_JOBS = 4;

  /** Memory that every task needs. */
  private static final long TASK_MEMORY_MB = 1_000;

  private final Random random;
  private final SuspendAwareClock clock;
  private int submittedLongRunningJobs;
  private int nextJobNumber;

  ShortJobs(Random random, SuspendAwareClock clock) {
    this.random = random;
    this.clock = clock;
  }

  @Override
  public long intervalMs() {
    return SUBMIT_INTERVAL_MS;
  }

  @Override
  public List<JobSpec> next(long elapsedMs) {
    String id = String.format(Locale.ROOT, "%08x%08x", random.nextInt(), nextJobNumber++);
    String team = PlatformStandIn.TEAMS.get(random.nextInt(PlatformStandIn.TEAMS.size()));
    boolean isLongRunning = submittedLongRunningJobs < LONG_RUNNING_JOBS && nextJobNumber > 5;
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
    return List.of(new JobSpec(id, queue, team, "soak", steps, 0, 0, 0, clock.epochMs()));
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

  @Override
  public OptionalLong repeatDelayMs(JobSpec job) {
    return OptionalLong.empty();
  }
}
