package org.laburnumarch.internal.schedule;

/**
 * Finds runs that stand still or crawl, and has them stopped so that they run elsewhere. Answers
 * workers that are healthy by their own word but do not get on with what they run.
 */
final class Stragglers {

  /** A run whose percentage has not changed for this part of its expected time stands still. */
  private static final double STALLED_SHARE = 0.6;

  /** Shortest time without progress that means anything; reports come at least once a second. */
  private static final long SHORTEST_STALL_MS = 900;

  /** A run that would take this many times its expected time crawls. */
  private static final double CRAWL_RATIO = 3.5;

  /** Time that a run elsewhere must save to be worth the work that is lost. */
  private static final long LEAST_GAIN_MS = 700;

  private static final int ALL_PERCENT = 100;

  private final RunTimes runTimes;

  Stragglers(RunTimes runTimes) {
    this.runTimes = runTimes;
  }

  /** Marks the runs of a worker that should be stopped. */
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
        worker.health.noteOverdue(ratio);
        attempt.isStopWanted = true;
        attempt.task.avoidedWorker = worker.id;
      }
    }
  }

  /** Returns how many times its expected time a straggler takes; 1 for any other run. */
  private double slowness(Attempt attempt, long nowMs) {
    Step step = attempt.task.step;
    double expectedMs = runTimes.expectedMs(step.job.spec.queue(), step.spec);
    long stalledMs = attempt.shownAtMs - attempt.percentChangedAtMs;
    boolean isStalled =
        stalledMs > Math.max(SHORTEST_STALL_MS, STALLED_SHARE * expectedMs)
            && attempt.percent < ALL_PERCENT;
    if (isStalled) {
      return CRAWL_RATIO;
    }
    long ranMs = attempt.percentChangedAtMs - attempt.orderedAtMs;
    if (attempt.percent <= 0 || ranMs < SHORTEST_STALL_MS || !attempt.checkpoint.isEmpty()) {
      return 1;
    }
    double wholeMs = (double) ranMs * ALL_PERCENT / attempt.percent;
    double leftMs = wholeMs - (nowMs - attempt.orderedAtMs);
    boolean isCrawling = wholeMs > CRAWL_RATIO * expectedMs && leftMs > expectedMs + LEAST_GAIN_MS;
    return isCrawling ? wholeMs / expectedMs : 1;
  }
}
