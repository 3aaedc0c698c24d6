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

  /** Returns the length of lease that each order requests, in milliseconds. */
  public long leaseMs() {
    return (long) (maxLeaseMs * REQUESTED_LEASE_FRACTION);
  }
}
