package org.laburnumarch.internal.schedule;

/**
 * An unexpected outcome of a run, for the log and the metrics.
 *
 * @param kind what happened
 * @param taskName the task's wire name
 * @param run number of the run
 * @param workerId the worker that has or had the run
 */
public record RunEvent(Kind kind, String taskName, long run, String workerId) {

  /** What happened to a run. */
  public enum Kind {
    /** It counts as over because a report does not list it. */
    CLOSED_AS_NOT_LISTED,
    /** It counts as over because its worker's leases have expired or its process has ended. */
    CLOSED_BY_LEASE,
    /** It counts as over because its worker has begun a new incarnation. */
    CLOSED_BY_INCARNATION,
    /** A report lists it as going on although the task has another run. */
    FOUND_RUNNING_TWICE,
    /** A report lists it as done although the task has another run. */
    FOUND_DONE_TWICE;

    /** Returns whether the task had two runs, at once or one after a lease that expired. */
    public boolean isDuplicate() {
      return this == FOUND_RUNNING_TWICE || this == FOUND_DONE_TWICE;
    }
  }
}
