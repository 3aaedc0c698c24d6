package org.laburnumarch.internal.schedule;

/**
 * Finds runs that make no progress or very slow progress, and marks them to be stopped so that they
 * run elsewhere. This covers workers that report themselves healthy but do not progress.
 */
final class StragglerDetector {

  /**
   * A run whose percentage has not changed for this fraction of its expected run time is stalled.
   */
  private static final double STALLED_FRACTION = 0.6;

  /**
   * Minimum time without progress for a run to count as stalled; reports come at least once a
   * second, so a shorter time is no sign of a stall.
   */
  private static final long MIN_STALL_MS = 900;

  /** A run that would take more than this many times its expected run time is crawling. */
  private static final double CRAWL_RATIO = 3.5;

  /**
   * Number of straggling runs of a task after which a crawling one is left alone. A task that
   * crawls on one worker after the other is long, and not slowed down by any of them.
   */
  private static final int MAX_STRAGGLING_RUNS = 2;

  /** Time that a run elsewhere must save to make up for the lost work. */
  private static final long MIN_GAIN_MS = 700;

  private static final int ALL_PERCENT = 100;

  private final RunTimeEstimator runTimeEstimator;

  StragglerDetector(RunTimeEstimator runTimeEstimator) {
    this.runTimeEstimator = runTimeEstimator;
  }

  /** Marks the straggling runs of a worker to be stopped. */
  void check(Worker worker, long nowMs) {
    for (Attempt attempt : worker.attempts.values()) {
      Step step = attempt.task.step;
      if (attempt.phase != Attempt.Phase.RUNNING
          || attempt.isStopWanted
          || attempt.task.attempt != attempt
          || step.spec.isLongRunning()
          || step.spec.isGang()) {
        continue;
      }
      double ratio = slowness(attempt, nowMs);
      if (ratio > 1) {
        worker.health.recordOverdueRun(ratio);
        attempt.isStopWanted = true;
        attempt.task.stragglingRuns++;
        attempt.task.avoidedWorker = worker.id;
      }
    }
  }

  /** Returns the ratio of a straggler's run time to its expected run time; 1 for any other run. */
  private double slowness(Attempt attempt, long nowMs) {
    Step step = attempt.task.step;
    double expectedMs = runTimeEstimator.expectedMs(step.job.spec.queue(), step.spec);
    long stalledMs = attempt.reportedAtMs - attempt.percentChangedAtMs;
    boolean isStalled =
        stalledMs > Math.max(MIN_STALL_MS, STALLED_FRACTION * expectedMs)
            && attempt.percent < ALL_PERCENT;
    if (isStalled) {
      return CRAWL_RATIO;
    }
    long ranMs = attempt.percentChangedAtMs - attempt.orderedAtMs;
    if (attempt.percent <= 0 || ranMs < MIN_STALL_MS || !attempt.checkpoint.isEmpty()) {
      return 1;
    }
    double projectedTotalMs = (double) ranMs * ALL_PERCENT / attempt.percent;
    double remainingMs = projectedTotalMs - (nowMs - attempt.orderedAtMs);
    boolean isCrawling =
        attempt.task.stragglingRuns < MAX_STRAGGLING_RUNS
            && projectedTotalMs > CRAWL_RATIO * expectedMs
            && remainingMs > expectedMs + MIN_GAIN_MS;
    return isCrawling ? projectedTotalMs / expectedMs : 1;
  }
}
