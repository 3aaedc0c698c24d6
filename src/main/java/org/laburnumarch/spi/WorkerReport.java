package org.laburnumarch.spi;

import java.util.List;

/**
 * A worker's report of its attempts.
 *
 * @param incarnation identifies the worker's process; new for each start
 * @param createdAtWorkerMs when the report was created, by the worker's monotonic clock
 * @param fencingOffset the highest fencing token that the worker has seen
 */
public record WorkerReport(
    String worker,
    String incarnation,
    long createdAtWorkerMs,
    long fencingOffset,
    List<Running> running,
    List<Ended> ended) {

  public WorkerReport {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /** A running attempt with its resource usage, which may be some seconds old. */
  public record Running(AttemptId id, int usedMilliProcessors, int usedMemoryMb) {}

  /** An attempt that has ended, or was stopped before it started. */
  public record Ended(AttemptId id, Result result) {}

  /** How an attempt ended on its worker. */
  public enum Result {
    SUCCEEDED,
    FAILED,
    STOPPED
  }
}
