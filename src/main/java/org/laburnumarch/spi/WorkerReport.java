package org.laburnumarch.spi;

import java.util.List;

/**
 * What a worker says of itself.
 *
 * @param incarnation new for each start of the worker
 * @param atWorkerMs when it wrote the report, by its own monotonic clock
 * @param fencingOffset the highest token that it has seen
 */
public record WorkerReport(
    String worker,
    String incarnation,
    long atWorkerMs,
    long fencingOffset,
    List<Running> running,
    List<Ended> ended) {

  public WorkerReport {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /** An attempt that runs, with its usage, which may be some seconds old. */
  public record Running(AttemptId id, int usedMilliProcessors, int usedMemoryMb) {}

  /** An attempt that has ended, or was stopped before it began. */
  public record Ended(AttemptId id, Result result) {}

  /** How an attempt ended on its worker. */
  public enum Result {
    SUCCEEDED,
    FAILED,
    STOPPED
  }
}
