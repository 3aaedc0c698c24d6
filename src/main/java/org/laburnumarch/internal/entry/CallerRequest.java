package org.laburnumarch.internal.entry;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequestMethod;
import java.util.Optional;
import org.laburnumarch.internal.queue.TeamWeight;
import org.laburnumarch.internal.routing.ConnectionRule;

/**
 * A caller's request that passed the checks on arrival.
 *
 * @param pool pool that runs the service
 * @param weight team that the request runs for, with its share
 * @param maxQueued maximum number of queued requests of the team
 * @param key the caller's key; empty on a queue that is open to all
 * @param target path and query of the request to the minion
 * @param arrivedAtMs when its head arrived
 * @param deadlineMs when the response is due
 * @param deadlineEpochMs the same instant in wall clock time, for the minion
 */
record CallerRequest(
    String service,
    String pool,
    TeamWeight weight,
    int maxQueued,
    Optional<PresentedKey> key,
    HttpRequestMethod method,
    String target,
    HttpHeaders headers,
    Buffer body,
    long arrivedAtMs,
    long deadlineMs,
    long deadlineEpochMs) {

  String team() {
    return weight.team();
  }

  boolean isIdempotent() {
    return ConnectionRule.isIdempotent(method.name());
  }

  boolean isHead() {
    return method.equals(HttpRequestMethod.HEAD);
  }

  CallerRequest withBody(Buffer wholeBody) {
    return new CallerRequest(
        service,
        pool,
        weight,
        maxQueued,
        key,
        method,
        target,
        headers,
        wholeBody,
        arrivedAtMs,
        deadlineMs,
        deadlineEpochMs);
  }
}
