package org.laburnumarch.internal.schedule;

/**
 * Times that the platform sets for a scheduler, in milliseconds.
 *
 * @param longestLeaseMs longest lease that a worker grants
 * @param stopBoundMs longest time that a worker takes to stop a run
 * @param gangWaitMs how long a member of a gang waits for the others
 * @param statusKeptMs how long the status of a finished job must be known
 * @param unavailableNoticeMs how long a task counts as unavailable after it was
 * @param remotePenalty how many times as long a task takes away from its data
 * @param earlierOwnerLimitMs longest time that an earlier owner may go on giving orders after this
 *     one has taken over
 */
public record SchedulerSettings(
    long longestLeaseMs,
    long stopBoundMs,
    long gangWaitMs,
    long statusKeptMs,
    long unavailableNoticeMs,
    double remotePenalty,
    long earlierOwnerLimitMs) {

  /**
   * Share of the longest lease that is asked for. It must outlast a take-over, about 2 s, beside
   * the wait of a report; shorter leases let the tasks of a lost worker start elsewhere sooner.
   */
  private static final double LEASE_SHARE = 0.67;

  /** Returns the lease that each order asks for. */
  public long leaseMs() {
    return (long) (longestLeaseMs * LEASE_SHARE);
  }
}
