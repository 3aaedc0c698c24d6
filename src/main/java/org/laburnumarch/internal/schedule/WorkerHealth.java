package org.laburnumarch.internal.schedule;

import java.util.HashSet;
import java.util.Set;

/**
 * Judges a worker by how runs end there. A worker that fails runs of several jobs in a row gets no
 * work for a time that doubles while it goes on failing.
 */
final class WorkerHealth {

  /** Failed ends in a row, of different jobs, after which a worker counts as bad. */
  private static final int FAILURES_BEFORE_BLOCK = 2;

  private static final long FIRST_BLOCK_MS = 1_500;
  private static final long LONGEST_BLOCK_MS = 12_000;

  /** Weight of the newest run in the moving average of relative run times. */
  private static final double SLOWNESS_WEIGHT = 0.35;

  /** Part of the slowness that is left after each second. */
  private static final double FADE = 0.85;

  private final Set<String> failedJobs = new HashSet<>();
  private long blockMs = FIRST_BLOCK_MS;
  private double slowness = 1;

  /**
   * Notes a failed end.
   *
   * @return how long nothing should start there, from now; 0 for not at all
   */
  long noteFailure(String job) {
    failedJobs.add(job);
    if (failedJobs.size() < FAILURES_BEFORE_BLOCK) {
      return 0;
    }
    long block = blockMs;
    blockMs = Math.min(LONGEST_BLOCK_MS, 2 * blockMs);
    return block;
  }

  /** Notes an end as done after {@code ratio} times the expected run time. */
  void noteDone(double ratio) {
    failedJobs.clear();
    blockMs = FIRST_BLOCK_MS;
    slowness += SLOWNESS_WEIGHT * (ratio - slowness);
  }

  /** Lets what was seen of slow runs fade, so that the worker is tried again. */
  void fade() {
    slowness = 1 + (slowness - 1) * FADE;
  }

  /** Notes that a run takes at least {@code ratio} times the expected run time. */
  void noteOverdue(double ratio) {
    slowness = Math.max(slowness, ratio);
  }

  /** Returns how many times as long as expected runs take there lately. */
  double slowness() {
    return slowness;
  }
}
