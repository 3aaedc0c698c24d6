package org.laburnumarch.internal.entry;

import io.servicetalk.transport.api.RetryableException;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * Why an attempt ended without a complete response.
 *
 * @param isWritten whether the minion may have received any part of the request
 * @param next what happens to the request afterwards
 */
record AttemptFailure(Refusal refusal, boolean isWritten, Next next) {

  /** What happens to the request after the failure. */
  enum Next {
    /** The minion failed; the request is retried if it may be repeated and the budget allows it. */
    RETRY,

    /** The minion may not get requests any more; the request, not yet written, is queued again. */
    REROUTE,

    /** The request itself may not run any more; it is refused. */
    REFUSE
  }

  private static final long RETRY_AFTER_MS = 1_000;

  /** The connection could not be opened. */
  static AttemptFailure connectFailed(Throwable cause) {
    String message = "no connection to a minion could be opened: " + cause.getMessage();
    return new AttemptFailure(
        Refusal.retryable(ResultCode.CONNECT_FAILED, message, RETRY_AFTER_MS), false, Next.RETRY);
  }

  /** The connection was not opened in time. */
  static AttemptFailure connectTimedOut() {
    return new AttemptFailure(
        Refusal.retryable(
            ResultCode.CONNECT_FAILED,
            "no connection to a minion was opened in time",
            RETRY_AFTER_MS),
        false,
        Next.RETRY);
  }

  /** No complete response came in time. */
  static AttemptFailure responseTimedOut() {
    return new AttemptFailure(
        Refusal.of(
            ResultCode.OUTCOME_UNKNOWN,
            "the minion did not respond before the deadline; find out whether the request ran"),
        true,
        Next.RETRY);
  }

  /** The exchange on an open connection failed. */
  static AttemptFailure exchangeFailed(Throwable cause) {
    if (cause instanceof MessageRejectedException rejection) {
      return new AttemptFailure(Refusal.of(rejection.code(), cause.getMessage()), true, Next.RETRY);
    }
    if (cause instanceof RetryableException) {
      // The library raises these only when nothing of the request was written.
      String message = "the connection to a minion was lost before the request was sent";
      return new AttemptFailure(
          Refusal.retryable(ResultCode.CONNECT_FAILED, message, RETRY_AFTER_MS), false, Next.RETRY);
    }
    String message =
        "the connection to a minion was lost before its response; find out whether the request ran";
    return new AttemptFailure(Refusal.of(ResultCode.OUTCOME_UNKNOWN, message), true, Next.RETRY);
  }

  /**
   * The step would have broken an invariant.
   *
   * @param isWritten whether the request was written before
   */
  static AttemptFailure invariantBreach(InvariantBreachException cause, boolean isWritten) {
    Refusal refusal = Refusal.of(cause.code(), cause.getMessage());
    return new AttemptFailure(refusal, isWritten, Next.REFUSE);
  }

  /** The request may not run any more; found between dispatch and write. */
  static AttemptFailure refused(Refusal refusal) {
    return new AttemptFailure(refusal, false, Next.REFUSE);
  }

  /** The minion may not be used any more; found between dispatch and write. */
  static AttemptFailure rerouted(Refusal refusal) {
    return new AttemptFailure(refusal, false, Next.REROUTE);
  }
}
