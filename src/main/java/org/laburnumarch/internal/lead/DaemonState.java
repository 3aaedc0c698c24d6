package org.laburnumarch.internal.lead;

/**
 * What a daemon reports to an owner that looks for a successor.
 *
 * @param holder name of the reporting process
 * @param size the size of its instance
 * @param isStopping whether it has been told to stop
 * @param uptimeMs time since its start, in milliseconds
 * @param readMs time that its last read of the store took, in milliseconds; -1 if it failed
 * @param writeMs time that its last write to the store took, in milliseconds; -1 if it failed
 * @param timerDelayMs by how much its timers ran late at most during the last second, in
 *     milliseconds
 */
public record DaemonState(
    String holder,
    InstanceSize size,
    boolean isStopping,
    long uptimeMs,
    long readMs,
    long writeMs,
    long timerDelayMs) {

  /** Time that a daemon needs after its start until it is as fast as later. */
  private static final long WARM_UP_MS = 3_000;

  /**
   * Longest time of a read or a write with which a daemon can be the owner. The store takes 4 ms,
   * and 240 ms when it is slow for everyone.
   */
  private static final long MAX_STORE_MS = 300;

  /** Longest delay of timers with which a daemon can be the owner; two of an owner's rounds. */
  private static final long MAX_TIMER_DELAY_MS = 100;

  /** Returns whether this daemon reads and writes the store, is not stopping and not slow. */
  public boolean canOwn() {
    return !isStopping
        && isResponsive(uptimeMs, timerDelayMs)
        && readMs >= 0
        && readMs <= MAX_STORE_MS
        && writeMs >= 0
        && writeMs <= MAX_STORE_MS;
  }

  /**
   * Returns whether a daemon has the processor time that an owner needs.
   *
   * @param uptimeMs time since its start, in milliseconds
   * @param timerDelayMs by how much its timers ran late at most during the last second, in
   *     milliseconds
   */
  public static boolean isResponsive(long uptimeMs, long timerDelayMs) {
    return uptimeMs >= WARM_UP_MS && timerDelayMs <= MAX_TIMER_DELAY_MS;
  }
}
