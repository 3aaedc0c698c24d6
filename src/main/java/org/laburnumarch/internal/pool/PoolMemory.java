package org.laburnumarch.internal.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Remembers how many instances each pool needed lately, so that a pool keeps through a short pause
 * what its next peak will need. Not thread-safe; no I/O.
 *
 * <p>Answers demand that turns from pool to pool: a move takes longer than the first jobs of a peak
 * can wait, and a pool that was just emptied is late at each of its peaks.
 */
final class PoolMemory {

  /**
   * How long a peak is remembered. Five services that peak one after the other for 4 s each leave
   * pauses of 16 s.
   */
  static final long MEMORY_MS = 20_000;

  private record Need(long atMs, int instances) {}

  private static final class History {
    private final long sinceMs;

    /** Needs that no later one exceeds, so that the first is the highest. */
    private final Deque<Need> needs = new ArrayDeque<>();

    History(long sinceMs) {
      this.sinceMs = sinceMs;
    }
  }

  private final Map<String, History> histories = new HashMap<>();

  /** Notes what a pool needs now. The first note that {@code isAsked} begins its history. */
  void note(String pool, int instances, boolean isAsked, long nowMs) {
    History history = histories.get(pool);
    if (history == null) {
      if (!isAsked) {
        return;
      }
      history = new History(nowMs);
      histories.put(pool, history);
    }
    Deque<Need> needs = history.needs;
    while (!needs.isEmpty() && needs.peekLast().instances() <= instances) {
      needs.removeLast();
    }
    needs.addLast(new Need(nowMs, instances));
    while (nowMs - needs.peekFirst().atMs() > MEMORY_MS) {
      needs.removeFirst();
    }
  }

  /**
   * Returns how many instances a pool should keep.
   *
   * @param present how many it has; all are kept until its demand is known
   */
  int keep(String pool, int present, long nowMs) {
    History history = histories.get(pool);
    if (history == null || nowMs - history.sinceMs < MEMORY_MS) {
      return present;
    }
    return history.needs.peekFirst().instances();
  }
}
