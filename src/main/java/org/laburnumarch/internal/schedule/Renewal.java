package org.laburnumarch.internal.schedule;

/**
 * A renewal of a worker's lease that is to be sent.
 *
 * @param workerId the worker
 * @param leaseEndClockMs end of the lease, on the worker's clock; negative not to renew
 * @param acknowledgedEnd number of the last end that the worker may forget
 * @param waitMs how long the worker may wait for an end before it answers
 */
public record Renewal(String workerId, long leaseEndClockMs, long acknowledgedEnd, long waitMs) {}
