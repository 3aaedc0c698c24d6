package org.laburnumarch.internal.forecast;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The largest demand within a sliding window, as an average over a second, so that a pool keeps
 * enough instances for its next peak during a pause. Not thread-safe; no I/O.
 *
 * <p>Meant for demand that shifts between pools without a recurrence: a move takes longer than the
 * first jobs of a peak can wait, so a pool that shrinks between two peaks misses deadlines at each
 * of them.
 */
final class RecentDemand {

  /**
   * Time over which demand is averaged. Demand that lasts shorter than a move takes is not worth
   * keeping instances for.
   */
  private static final long AVERAGING_MS = 1_000;

  private record Sample(long atMs, double instances) {}

  private final long windowMs;

  /** Averages in descending order: each is larger than all later ones, so the first is largest. */
  private final Deque<Sample> averages = new ArrayDeque<>();

  /** Samples within the averaging time. */
  private final Deque<Sample> recent = new ArrayDeque<>();

  private double sum;

  /**
   * Creates an empty history.
   *
   * @param windowMs length of the window
   */
  RecentDemand(long windowMs) {
    this.windowMs = windowMs;
  }

  /** Records the demand and returns its average over the last second. */
  double record(int instances, long nowMs) {
    recent.addLast(new Sample(nowMs, instances));
    sum += instances;
    while (nowMs - recent.peekFirst().atMs() >= AVERAGING_MS) {
      sum -= recent.removeFirst().instances();
    }
    double average = sum / recent.size();
    while (!averages.isEmpty() && averages.peekLast().instances() <= average) {
      averages.removeLast();
    }
    averages.addLast(new Sample(nowMs, average));
    while (nowMs - averages.peekFirst().atMs() > windowMs) {
      averages.removeFirst();
    }
    return average;
  }

  /** Returns the largest average within the window, rounded up; 0 before the first record. */
  int max() {
    return averages.isEmpty() ? 0 : (int) Math.ceil(averages.peekFirst().instances());
  }
}
