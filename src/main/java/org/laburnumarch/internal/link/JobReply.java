package org.laburnumarch.internal.link;

/**
 * The owner's reply to a caller's request.
 *
 * @param code outcome of the request
 * @param status the job's status in lower case, or empty
 * @param count number of waiting jobs, for a request that concerns a queue; otherwise 0
 * @param retryAfterMs time after which the caller may retry a request that had no effect; 0 if not
 *     given
 */
public record JobReply(Code code, String status, int count, long retryAfterMs) {

  /** The outcome of a request. */
  public enum Code {
    /** Done; for a submission the job is stored. */
    OK,
    /** The job does not exist. */
    UNKNOWN_JOB,
    /** The queue's backlog is too long; not accepted. */
    OVERLOADED,
    /** The daemon does not own the fleet or cannot store jobs at the moment; not accepted. */
    UNAVAILABLE,
    /** It is not known whether the request was accepted. */
    UNDECIDED
  }

  /** Returns a reply that has only a code. */
  public static JobReply of(Code code) {
    return new JobReply(code, "", 0, 0);
  }

  /** Returns a refusal that the caller may retry after a time. */
  public static JobReply refuse(Code code, long retryAfterMs) {
    return new JobReply(code, "", 0, retryAfterMs);
  }
}
