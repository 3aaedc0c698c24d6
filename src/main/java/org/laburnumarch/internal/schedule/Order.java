package org.laburnumarch.internal.schedule;

/** An order that is to be sent to a worker. */
public sealed interface Order {

  /** Returns the id of the worker that it is for. */
  String workerId();

  /** Returns the task's name. */
  String taskName();

  /** Returns the number of the run. */
  long run();

  /**
   * Start a run.
   *
   * @param program the job's text
   * @param leaseEndClockMs end of the lease, on the worker's clock
   * @param checkpoint checkpoint to resume from; empty for none
   * @param ticket the advisory service's ticket; empty for none
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

  /** Stop a run and never start it. */
  record Stop(String workerId, String taskName, long run) implements Order {}

  /**
   * Limit the processor time of a run.
   *
   * @param percent the part that it may use, in hundredths
   */
  record Pace(String workerId, String taskName, long run, int percent) implements Order {}
}
