package org.laburnumarch.internal.fleet;

import org.laburnumarch.internal.hash.StableHash;

/**
 * Determines when a rack is due for maintenance.
 *
 * <p>The hash of its name gives every rack a time slot in the interval. That spreads the
 * maintenance of the fleet over the interval without a stored plan. The period is 90% of the
 * interval; the remaining 10% allow for waves that are delayed.
 */
final class MaintenanceSlots {
  private static final long DAY_MS = 24 * 60 * 60 * 1_000L;

  private final long intervalMs;
  private final long periodMs;

  MaintenanceSlots(int intervalDays) {
    this.intervalMs = intervalDays * DAY_MS;
    this.periodMs = intervalMs / 10 * 9;
  }

  /** Returns when the current slot of a rack began, in milliseconds since the epoch. */
  long startedAtEpochMs(String rack, long nowEpochMs) {
    long phaseMs = Math.floorMod(StableHash.of(rack), periodMs);
    return nowEpochMs - Math.floorMod(nowEpochMs - phaseMs, periodMs);
  }

  /** Returns whether an instance of a rack has not been maintained since its slot began. */
  boolean isDue(String rack, long maintainedAtEpochMs, long nowEpochMs) {
    return maintainedAtEpochMs < startedAtEpochMs(rack, nowEpochMs);
  }

  /** Returns whether at least the maintenance interval has passed since the last maintenance. */
  boolean isOverdue(long maintainedAtEpochMs, long nowEpochMs) {
    return nowEpochMs - maintainedAtEpochMs >= intervalMs;
  }
}
