package org.laburnumarch.internal.schedule;

import java.util.List;

/**
 * A worker's answer to a renewal of its lease.
 *
 * @param workerClockMs the worker's steady clock when it answered
 * @param startedEpochMs when the worker's life began, in Unix milliseconds; 0 if it did not say
 * @param running what runs there
 * @param ended ends that have not been acknowledged
 */
public record WorkerReport(
    long workerClockMs, long startedEpochMs, List<RunningTask> running, List<EndedTask> ended) {

  /** Copies the lists. */
  public WorkerReport {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }
}
