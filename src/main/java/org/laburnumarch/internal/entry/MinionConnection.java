package org.laburnumarch.internal.entry;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.ReservedHttpConnection;
import io.servicetalk.http.api.ReservedStreamingHttpConnection;

/**
 * One connection to a minion; it carries one request at a time.
 *
 * <p>{@link #currentAttempt} and {@link #idleSinceMs} are guarded by the lock of the dispatcher.
 */
final class MinionConnection {
  private final ReservedStreamingHttpConnection streaming;
  private final ReservedHttpConnection aggregated;
  private Attempt currentAttempt;
  private long idleSinceMs;

  MinionConnection(ReservedStreamingHttpConnection streaming) {
    this.streaming = streaming;
    this.aggregated = streaming.asConnection();
  }

  /** Sends a request; fails with an exception of the library if no response begins. */
  Single<Reply.FromMinion> send(CallerRequest caller) {
    HttpRequest request = aggregated.newRequest(caller.method(), caller.target());
    ForwardedHeaders.copyRequest(caller.headers(), request.headers());
    request.setHeader("request-deadline-epoch-ms", Long.toString(caller.deadlineEpochMs()));
    // Sending consumes the buffer; a duplicate leaves the body intact for another attempt.
    request.payloadBody(caller.body().duplicate());
    return streaming
        .request(request.toStreamingRequest())
        .flatMap(head -> ResponseCollector.collect(head, caller.isHead()));
  }

  /** Completes when the connection is closed by either side. */
  Completable onClose() {
    return streaming.onClose();
  }

  /** Closes the connection at once, even during an exchange. */
  Completable close() {
    return streaming.closeAsync();
  }

  /** Returns the attempt that uses the connection, or null if it is idle. */
  Attempt currentAttempt() {
    return currentAttempt;
  }

  void assignTo(Attempt attempt) {
    currentAttempt = attempt;
  }

  /** Marks the connection as idle: its exchange is complete, or nothing was written on it. */
  void markIdle(long nowMs) {
    currentAttempt = null;
    idleSinceMs = nowMs;
  }

  /** Returns when the connection last became idle. */
  long idleSinceMs() {
    return idleSinceMs;
  }
}
