package org.laburnumarch.internal.link;

/**
 * The owner's answer to a caller's request.
 *
 * @param code what became of the request
 * @param status the job's status in lower case, or empty
 * @param count number of waiting jobs, for a question about a queue
 * @param retryAfterMs when to come back, if the request has not run; 0 if there is no such time
 */
public record JobReply(Code code, String status, int count, long retryAfterMs) {

  /** What became of a request. */
  public enum Code {
    /** Done; for a submission the job is stored. */
    OK,
    /** No such job. */
    UNKNOWN_JOB,
    /** The queue's backlog is too long; not accepted. */
    OVERLOADED,
    /** This daemon does not own the fleet, or cannot store now; not accepted. */
    UNAVAILABLE,
    /** Whether it was accepted is not known. */
    UNDECIDED
  }

  /** Returns an answer without further content. */
  public static JobReply of(Code code) {
    return new JobReply(code, "", 0, 0);
  }

  /** Returns a refusal with a time to come back. */
  public static JobReply refuse(Code code, long retryAfterMs) {
    return new JobReply(code, "", 0, retryAfterMs);
  }
}
