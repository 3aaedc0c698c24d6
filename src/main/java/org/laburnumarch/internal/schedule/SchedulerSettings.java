package org.laburnumarch.internal.schedule;

/**
 * The platform's time limits for a scheduler, in milliseconds unless said otherwise.
 *
 * @param maxLeaseMs longest lease that a worker grants
 * @param maxStopMs longest time that a worker takes to stop a run
 * @param gangTimeoutMs how long a member of a gang waits for the others
 * @param statusRetentionMs how long the status of a finished job is kept
 * @param unavailableNoticeMs how long a task still counts as unavailable after it has become
 *     available again
 * @param remoteSlowdownFactor factor by which the run time of a task grows on another rack than its
 *     data's
 * @param earlierOwnerAuthorityMs longest time after this owner's takeover during which an earlier
 *     owner may still give orders
 */
public record SchedulerSettings(
    long maxLeaseMs,
    long maxStopMs,
    long gangTimeoutMs,
    long statusRetentionMs,
    long unavailableNoticeMs,
    double remoteSlowdownFactor,
    long earlierOwnerAuthorityMs) {

  /**
   * Fraction of the longest lease that is requested. A lease must outlast a takeover, about 2 s,
   * plus the delay of a report. Shorter leases let the tasks of a lost worker start elsewhere
   * sooner.
   */
  private static final double REQUESTED_LEASE_FRACTION = 0.67;

  /** Factor by which a time on a worker's clock may take longer in real time. */
  static final double SLOW_CLOCK_FACTOR = 1.03;

  /**
   * Returns the longest time in milliseconds for which a worker keeps a lease, however slow its
   * clock is. It grants that long a lease on an order that names a time on the clock of an earlier
   * incarnation, which lies far ahead on its own clock.
   */
  long longestLeaseMs() {
    return (long) (maxLeaseMs * SLOW_CLOCK_FACTOR);
  }

  /** Returns the length of lease that each order requests, in milliseconds. */
  public long leaseMs() {
    return (long) (maxLeaseMs * REQUESTED_LEASE_FRACTION);
  }
}
