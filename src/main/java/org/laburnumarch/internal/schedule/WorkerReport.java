package org.laburnumarch.internal.schedule;

import java.util.List;

/**
 * A worker's response to a request for a report, which may also have renewed its lease.
 *
 * @param workerClockMs the worker's steady clock when it replied
 * @param startedEpochMs when the worker's incarnation began, in Unix milliseconds; 0 if not stated
 * @param running the runs that are going on there
 * @param ended the earliest ended runs that have not been acknowledged
 * @param listsAllEnds whether no later end has been left out; runs that a report without all ends
 *     does not name may have ended there
 */
public record WorkerReport(
    long workerClockMs,
    long startedEpochMs,
    List<RunningTask> running,
    List<EndedTask> ended,
    boolean listsAllEnds) {

  /** Copies the lists. */
  public WorkerReport {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }
}
