package org.laburnumarch.internal.schedule;

/**
 * Work of one pool that waits after a takeover because an earlier owner may have left it running.
 *
 * @param service the pool's service
 * @param tasks number of tasks that could start otherwise
 * @param unreportedWorkers number of the pool's workers that have not reported all ends to this
 *     owner
 * @param endedWorkers number of these whose processes are known to have ended
 * @param overAtMs local time at which the wait ends at the latest for workers that do not report
 */
public record TakeoverWait(
    String service, int tasks, int unreportedWorkers, int endedWorkers, long overAtMs) {}
