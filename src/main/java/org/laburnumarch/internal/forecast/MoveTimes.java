package org.laburnumarch.internal.forecast;

/**
 * The times that decide whether an idle instance is worth holding.
 *
 * @param moveMs time that the move of an instance takes
 * @param registrationMs time from the end of a move until tasks can start on the new worker
 */
public record MoveTimes(long moveMs, long registrationMs) {

  /**
   * Round trips for which a pool without a known recurrence holds what it needed. A move of 1.5 s
   * and a registration of 1.5 s give 20 s; shorter holds made pools late at peaks that recurred
   * every 16 s.
   */
  private static final double HOLD_ROUND_TRIPS = 20.0 / 4.5;

  /** Returns the time from the order of a move until tasks can start in the new pool. */
  public long leadMs() {
    return moveMs + registrationMs;
  }

  /**
   * Returns the time that an instance is unusable if it leaves its pool and returns. An instance
   * that is needed again sooner is held.
   */
  public long roundTripMs() {
    return 2 * moveMs + registrationMs;
  }

  /** Returns the time for which a pool without a known recurrence holds what it needed. */
  public long reactiveHoldMs() {
    return Math.round(HOLD_ROUND_TRIPS * roundTripMs());
  }
}
