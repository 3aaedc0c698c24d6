package org.laburnumarch.internal.schedule;

import java.util.List;

/**
 * Work of one pool that waits after a takeover because an earlier owner may have left it running.
 *
 * @param service the pool's service
 * @param tasks number of tasks that could start otherwise
 * @param unreportedWorkers number of the pool's workers that have not reported all ends to this
 *     owner
 * @param awaitedWorkers ids of the workers that the tasks wait for, also outside the pool, sorted
 * @param endedWorkers number of these whose processes are known to have ended
 * @param overAtMs local time at which the wait ends at the latest for workers that do not report
 */
public record TakeoverWait(
    String service,
    int tasks,
    int unreportedWorkers,
    List<String> awaitedWorkers,
    int endedWorkers,
    long overAtMs) {

  /** Copies the list. */
  public TakeoverWait {
    awaitedWorkers = List.copyOf(awaitedWorkers);
  }
}
