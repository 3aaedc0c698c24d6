package org.laburnumarch.internal.schedule;

import java.util.HashSet;
import java.util.Set;

/**
 * Rates a worker by how its runs end. A worker that fails runs of several jobs in a row is blocked
 * for a time that doubles with each further failure. It may be probed before that time is over: the
 * jobs may have failed through their own fault on every worker. More successful runs in a row than
 * jobs with failed ones end the block.
 */
final class WorkerHealth {

  /**
   * Number of different jobs with failed runs, without a successful run in between, after which a
   * worker is blocked.
   */
  private static final int FAILURES_BEFORE_BLOCK = 2;

  private static final long FIRST_BLOCK_MS = 1_500;
  private static final long MAX_BLOCK_MS = 12_000;

  /** Weight of the newest run in the moving average of the ratio of actual to expected run time. */
  private static final double SLOWNESS_WEIGHT = 0.35;

  /** Fraction of the excess slowness that remains after each second. */
  private static final double SLOWNESS_DECAY = 0.85;

  private final Set<String> failedJobs = new HashSet<>();
  private long blockMs = FIRST_BLOCK_MS;
  private long blockedUntilMs = Long.MIN_VALUE;
  private long probedFromMs = Long.MIN_VALUE;

  /** Number of successful runs in a row that end the block. */
  private int missingSuccesses;

  private double slowness = 1;

  /** Records a failed run, which may block the worker. */
  void recordFailure(String job, long nowMs) {
    failedJobs.add(job);
    missingSuccesses = Math.max(missingSuccesses, failedJobs.size() + 1);
    if (failedJobs.size() >= FAILURES_BEFORE_BLOCK) {
      blockedUntilMs = Math.max(blockedUntilMs, nowMs + blockMs);
      if (nowMs >= probedFromMs) {
        probedFromMs = nowMs + FIRST_BLOCK_MS;
      }
      blockMs = Math.min(MAX_BLOCK_MS, 2 * blockMs);
    }
  }

  /** Returns whether tasks should start on other workers. */
  boolean isBlocked(long nowMs) {
    return nowMs < blockedUntilMs;
  }

  /** Returns whether a task may start here although the worker is blocked. */
  boolean mayBeProbed(long nowMs) {
    return nowMs >= probedFromMs;
  }

  /** Records a successful run, or a long-running task that has got to work. */
  void recordSuccess() {
    failedJobs.clear();
    blockMs = FIRST_BLOCK_MS;
    missingSuccesses = Math.max(0, missingSuccesses - 1);
    if (missingSuccesses == 0) {
      blockedUntilMs = Long.MIN_VALUE;
    }
  }

  /** Records that a successful run took {@code ratio} times its expected run time. */
  void recordRunTime(double ratio) {
    slowness += SLOWNESS_WEIGHT * (ratio - slowness);
  }

  /** Reduces the slowness, called once a second, so that a slow worker is tried again. */
  void decaySlowness() {
    slowness = 1 + (slowness - 1) * SLOWNESS_DECAY;
  }

  /** Records that a run takes at least {@code ratio} times its expected run time. */
  void recordOverdueRun(double ratio) {
    slowness = Math.max(slowness, ratio);
  }

  /** Returns the recent ratio of actual to expected run times; 1 is normal. */
  double slowness() {
    return slowness;
  }
}
