package org.laburnumarch.internal.schedule;

/**
 * A request to a worker for a report, which may also renew its lease.
 *
 * @param workerId the worker
 * @param leaseEndClockMs new end of the lease, on the worker's clock; negative to leave the lease
 *     as it is
 * @param acknowledgedEnd number of the last ended run that the worker need not report again; 0 for
 *     none
 * @param waitMs how long the worker may wait for a run to end before it replies
 */
public record Renewal(String workerId, long leaseEndClockMs, long acknowledgedEnd, long waitMs) {}
