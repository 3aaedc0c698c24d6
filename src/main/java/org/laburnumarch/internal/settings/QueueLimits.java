package org.laburnumarch.internal.settings;

/**
 * Limits of the requests that wait at one daemon.
 *
 * @param maxQueuedPerTeamCount maximum number per team and queue; the fleet configuration may set a
 *     lower one for a queue
 * @param maxQueuedCount maximum number in all queues together
 * @param maxQueuedBodyBytes maximum total size of the bodies in all queues
 */
public record QueueLimits(int maxQueuedPerTeamCount, int maxQueuedCount, int maxQueuedBodyBytes) {}
