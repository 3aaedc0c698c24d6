package org.laburnumarch.internal.schedule;

/** An order to a worker. */
public sealed interface Order {

  /** Returns the id of the addressed worker. */
  String workerId();

  /** Returns the task's wire name. */
  String taskName();

  /** Returns the number of the run. */
  long run();

  /**
   * Starts a run.
   *
   * @param program the job's program, passed to the task unchanged
   * @param leaseEndClockMs end of the lease, on the worker's clock
   * @param checkpoint checkpoint to resume from; empty to start from the beginning
   * @param ticket the advisory service's ticket; empty if none is needed
   */
  record Start(
      String workerId,
      String taskName,
      long run,
      String program,
      long leaseEndClockMs,
      String checkpoint,
      String ticket)
      implements Order {}

  /** Stops a run, or prevents its start if it has not started yet. */
  record Stop(String workerId, String taskName, long run) implements Order {}

  /**
   * Limits the processor time of a run.
   *
   * @param percent the share of processor time that it may use, in percent
   */
  record Pace(String workerId, String taskName, long run, int percent) implements Order {}
}
