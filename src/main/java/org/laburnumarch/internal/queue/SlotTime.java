package org.laburnumarch.internal.queue;

/** Moving average of the slot time of finished requests. */
final class SlotTime {
  /** Lowest weight of the newest request, so that about the last 100 requests count. */
  private static final double MIN_NEWEST_WEIGHT = 0.01;

  private double meanMs;
  private int count;

  void record(long slotMs) {
    count++;
    // The first requests have equal weight, so that the very first one does not dominate for long.
    meanMs += Math.max(MIN_NEWEST_WEIGHT, 1.0 / count) * (slotMs - meanMs);
  }

  boolean isKnown() {
    return count > 0;
  }

  /** Returns the mean in milliseconds, at least 1 so that a charge is never free. */
  double meanMs() {
    return Math.max(1, meanMs);
  }
}
