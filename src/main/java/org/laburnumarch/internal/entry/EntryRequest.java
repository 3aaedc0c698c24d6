package org.laburnumarch.internal.entry;

import io.servicetalk.concurrent.SingleSource.Processor;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;
import org.laburnumarch.Outcome;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.queue.QueuedRequest;

/**
 * A request with its state from arrival until its final reply, of which there is exactly one.
 *
 * <p>Everything but {@link #deliver} and {@link #reply} is guarded by the lock of the dispatcher.
 */
final class EntryRequest {
  private final CallerRequest caller;
  private final Processor<Reply, Reply> reply = Processors.newSingleProcessor();
  private QueuedRequest<EntryRequest> queued;
  private int retriesDone;
  private int writtenCount;
  private boolean isFinished;

  EntryRequest(CallerRequest caller) {
    this.caller = caller;
  }

  CallerRequest caller() {
    return caller;
  }

  /** Completes with the final reply. */
  Single<Reply> reply() {
    return SourceAdapters.fromSource(reply);
  }

  void setQueued(QueuedRequest<EntryRequest> newQueued) {
    queued = newQueued;
  }

  QueuedRequest<EntryRequest> queued() {
    return queued;
  }

  int retriesDone() {
    return retriesDone;
  }

  void countRetry() {
    retriesDone++;
  }

  /** Counts a write to a minion that is about to happen. */
  void recordWrite() {
    if (!caller.isIdempotent() && writtenCount > 0) {
      throw new InvariantBreachException(
          ResultCode.INVARIANT_AT_MOST_ONCE,
          "a request that is not idempotent was about to be written a second time");
    }
    writtenCount++;
  }

  /** Reverts {@link #recordWrite} if nothing was sent. */
  void undoWrite() {
    writtenCount--;
  }

  /** Returns whether a minion may have run the request. */
  boolean isWritten() {
    return writtenCount > 0;
  }

  boolean isFinished() {
    return isFinished;
  }

  /** Marks the request as completed or abandoned by its caller, whichever comes first. */
  void finish(ResultCode code) {
    if (code.outcome() == Outcome.NOT_RUN && isWritten()) {
      throw new InvariantBreachException(
          ResultCode.INVARIANT_NOT_RUN,
          "a request that may have run was about to be refused with " + code);
    }
    isFinished = true;
  }

  /** Completes {@link #reply}; called without the lock. */
  void deliver(Reply finalReply) {
    reply.onSuccess(finalReply);
  }
}
