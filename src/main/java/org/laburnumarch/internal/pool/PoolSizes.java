package org.laburnumarch.internal.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * The sizes of the pools while moves are planned. Not thread-safe; no I/O.
 *
 * <p>An instance whose worker is starting, has not reported or is cordoned belongs to its pool but
 * runs nothing new, so both sizes count when a pool gives an instance away.
 */
final class PoolSizes {

  private final Map<String, Integer> present;
  private final Map<String, Integer> usable;

  /**
   * Creates sizes.
   *
   * @param present number of instances by pool once all pending operations are done
   * @param usable number of instances by pool on which tasks may start now
   */
  PoolSizes(Map<String, Integer> present, Map<String, Integer> usable) {
    this.present = new HashMap<>(present);
    this.usable = new HashMap<>(usable);
  }

  int present(String pool) {
    return present.getOrDefault(pool, 0);
  }

  /** Returns the number of instances of all pools. */
  int total() {
    return present.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the number of instances that a pool can rely on now. */
  int reliable(String pool) {
    return Math.min(present(pool), usable.getOrDefault(pool, 0));
  }

  /**
   * Returns how many reliable instances a pool has left if it gives one away.
   *
   * @param isUsable whether tasks may start on that instance now
   */
  int reliableWithout(String pool, boolean isUsable) {
    return Math.min(present(pool) - 1, usable.getOrDefault(pool, 0) - (isUsable ? 1 : 0));
  }

  /**
   * Records a planned move.
   *
   * @param isUsable whether tasks could start on the instance until now
   */
  void move(String from, boolean isUsable, String to) {
    present.merge(from, -1, Integer::sum);
    present.merge(to, 1, Integer::sum);
    if (isUsable) {
      usable.merge(from, -1, Integer::sum);
    }
  }

  /** Records that a planned move does not take place. */
  void cancelMove(String from, boolean isUsable, String to) {
    present.merge(to, -1, Integer::sum);
    present.merge(from, 1, Integer::sum);
    if (isUsable) {
      usable.merge(from, 1, Integer::sum);
    }
  }

  @Override
  public String toString() {
    return "present=" + present + " usable=" + usable;
  }
}
