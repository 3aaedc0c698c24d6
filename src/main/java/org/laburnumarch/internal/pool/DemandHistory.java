package org.laburnumarch.internal.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the largest number of instances that each pool has needed within a sliding window, so that
 * a pool keeps enough instances for its next peak during a short pause. Not thread-safe; no I/O.
 *
 * <p>Meant for demand that shifts between pools: a move takes longer than the first jobs of a peak
 * can wait, so a pool that shrinks between two peaks misses deadlines at each of them.
 */
final class DemandHistory {

  /**
   * Length of the window. It must exceed the pause between two peaks of a service: 16 s if five
   * services peak one after the other for 4 s each.
   */
  static final long WINDOW_MS = 20_000;

  /**
   * Time over which needs are averaged. A need that lasts shorter than a move takes is not worth
   * keeping instances for.
   */
  private static final long AVERAGING_MS = 1_000;

  private record Need(long atMs, int instances) {}

  private static final class PoolHistory {
    private final long sinceMs;

    /**
     * Needs in descending order: each is larger than all later ones, so the first is the maximum.
     */
    private final Deque<Need> needs = new ArrayDeque<>();

    /** Needs within the averaging time. */
    private final Deque<Need> recent = new ArrayDeque<>();

    PoolHistory(long sinceMs) {
      this.sinceMs = sinceMs;
    }

    private int average(int instances, long nowMs) {
      recent.addLast(new Need(nowMs, instances));
      while (nowMs - recent.peekFirst().atMs() >= AVERAGING_MS) {
        recent.removeFirst();
      }
      double mean = recent.stream().mapToInt(Need::instances).average().orElse(instances);
      return (int) Math.ceil(mean);
    }
  }

  private final Map<String, PoolHistory> histories = new HashMap<>();

  /**
   * Records how many instances a pool needs now. The pool's history begins with the first call for
   * which {@code hasDemand} is true.
   */
  void recordNeed(String pool, int instances, boolean hasDemand, long nowMs) {
    PoolHistory history = histories.get(pool);
    if (history == null) {
      if (!hasDemand) {
        return;
      }
      history = new PoolHistory(nowMs);
      histories.put(pool, history);
    }
    Deque<Need> needs = history.needs;
    int average = history.average(instances, nowMs);
    while (!needs.isEmpty() && needs.peekLast().instances() <= average) {
      needs.removeLast();
    }
    needs.addLast(new Need(nowMs, average));
    while (nowMs - needs.peekFirst().atMs() > WINDOW_MS) {
      needs.removeFirst();
    }
  }

  /**
   * Returns how many instances a pool should keep at least.
   *
   * @param present how many it has; all are kept until its history covers a whole window
   */
  int instancesToKeep(String pool, int present, long nowMs) {
    PoolHistory history = histories.get(pool);
    if (history == null || nowMs - history.sinceMs < WINDOW_MS) {
      return present;
    }
    return history.needs.peekFirst().instances();
  }
}
