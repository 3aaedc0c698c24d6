package org.laburnumarch.internal.node;

import java.util.Optional;
import org.laburnumarch.internal.link.JobReply;
import org.laburnumarch.internal.link.JobReply.Code;
import org.laburnumarch.internal.link.LinkMessage.CallKind;

/**
 * Decides how long a caller's request is sent again while no owner gives a final reply to it, and
 * what the caller is told in the end.
 *
 * <p>A change that has certainly not been made is refused after a short wait for an owner, so that
 * the caller can come back in time. A change that may have been made is sent again until the caller
 * stops waiting: it has an id, so the next owner either finds it in the store or makes it now, and
 * both are a true answer. A read is repeated for the short wait only.
 */
final class ReplyDeadlines {

  /** Longest time that a request waits for an owner before the caller is told to retry later. */
  static final long OWNER_WAIT_MS = 1_000;

  /** Part of the caller's timeout that is reserved for sending the response. */
  private static final long RESPONSE_MARGIN_MS = 100;

  private final boolean isChange;
  private final long responseDeadlineMs;
  private final long ownerDeadlineMs;
  private boolean mayHaveTakenEffect;

  /**
   * Creates the deadlines of a request.
   *
   * @param arrivedAtMs local time at which the request arrived
   * @param timeoutMs how long its caller waits for a response from then on
   */
  ReplyDeadlines(CallKind kind, long arrivedAtMs, long timeoutMs) {
    this.isChange = kind == CallKind.SUBMIT || kind == CallKind.CANCEL;
    this.responseDeadlineMs = arrivedAtMs + Math.max(0, timeoutMs - RESPONSE_MARGIN_MS);
    this.ownerDeadlineMs = Math.min(responseDeadlineMs, arrivedAtMs + OWNER_WAIT_MS);
  }

  /** Returns how long a reply can still be passed on to the caller, in milliseconds. */
  long remainingMs(long nowMs) {
    return responseDeadlineMs - nowMs;
  }

  /** Returns the answer for the caller after a reply; empty if the request is to be sent again. */
  Optional<JobReply> answer(JobReply reply, long nowMs) {
    if (reply.code() != Code.UNAVAILABLE && reply.code() != Code.UNDECIDED) {
      return Optional.of(reply);
    }
    mayHaveTakenEffect |= isChange && reply.code() == Code.UNDECIDED;
    if (nowMs < (mayHaveTakenEffect ? responseDeadlineMs : ownerDeadlineMs)) {
      return Optional.empty();
    }
    return Optional.of(mayHaveTakenEffect ? JobReply.of(Code.UNDECIDED) : reply);
  }

  /**
   * Returns whether the change may have been made, if the request is not sent again.
   *
   * @param isSent whether the request has been sent to an owner and no reply is known
   */
  boolean mayHaveTakenEffect(boolean isSent) {
    return mayHaveTakenEffect || (isChange && isSent);
  }
}
