package org.laburnumarch.internal.task;

/**
 * Time limits and intervals of the task scheduler, in milliseconds.
 *
 * @param leaseMs how long an attempt runs without a renewal, by the clock of its worker
 * @param takeoverWaitMs how long a worker must be silent until its attempts have certainly ended
 * @param appendIntervalMs minimum time between two records of one owner
 * @param exchangeIntervalMs time between two orders to a worker if nothing has changed
 * @param stealDelayMs delay per rank after which another member may place a waiting task
 */
public record TaskTimes(
    long leaseMs,
    long takeoverWaitMs,
    long appendIntervalMs,
    long exchangeIntervalMs,
    long stealDelayMs) {

  /** Lease of an attempt. */
  public static final long LEASE_MS = 15_000;

  private static final long FRESHNESS_LIMIT_MS = 3_000;

  /**
   * Allows for clocks that run at different speeds and for a pause between a check and its effect.
   */
  private static final long SAFETY_MARGIN_MS = 2_000;

  /** Pause before the first probe of a quarantined worker; it doubles with each failed probe. */
  static final long FIRST_PROBE_PAUSE_MS = 10_000;

  static final long MAX_PROBE_PAUSE_MS = 600_000;

  /**
   * Returns the times that are used in production.
   *
   * <p>An earlier owner keeps its authority for up to the freshness limit after it lost the worker,
   * and may grant leases based on reports received until then. So all its leases have expired after
   * the sum of lease, freshness limit and safety margin.
   */
  public static TaskTimes standard() {
    return new TaskTimes(
        LEASE_MS, LEASE_MS + FRESHNESS_LIMIT_MS + SAFETY_MARGIN_MS, 100, 1_000, 200);
  }
}
