package org.laburnumarch.internal.emulator;

import static io.servicetalk.http.api.HttpExecutionStrategies.offloadNone;

import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.RetryableException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;

/** An HTTP client for one entry or stand-in. */
final class LoadClient implements AutoCloseable {

  private final InetSocketAddress address;
  private final AtomicReference<HttpClient> current;

  /** Creates a client; no connection is opened before the first request. */
  LoadClient(InetSocketAddress address) {
    this.address = address;
    this.current = new AtomicReference<>(open());
  }

  /** How a request ended for its caller. */
  enum Kind {
    /** A complete response arrived. */
    ANSWERED,
    /** Nothing of the request was sent. */
    NOT_SENT,
    /** The connection was lost before the complete response arrived. */
    CONNECTION_LOST,
    /** No complete response arrived in time. */
    TIMED_OUT
  }

  /**
   * The result of a request for its caller.
   *
   * @param status the HTTP status code; 0 without a response
   * @param resultNumber the number of the result code; 0 if the response has none
   */
  record Reply(Kind kind, int status, int resultNumber, long retryAfterMs, String body) {

    /** Returns the reply for a request without a response. */
    static Reply withoutResponse(Kind kind, String reason) {
      return new Reply(kind, 0, 0, 0, reason);
    }
  }

  /**
   * Sends one request; the stage never fails.
   *
   * @param key the key to present; empty for none
   * @param requestTimeoutMs the deadline sent to the entry, from now
   * @param timeoutMs when the caller gives up, from now
   */
  CompletionStage<Reply> send(
      String method,
      String target,
      String key,
      byte[] body,
      long requestTimeoutMs,
      long timeoutMs) {
    HttpClient client = current.get();
    HttpRequest request =
        client.newRequest(HttpRequestMethod.of(method, propertiesOf(method)), target);
    request.setHeader("Request-Timeout-Ms", Long.toString(requestTimeoutMs));
    if (!key.isEmpty()) {
      request.setHeader("authorization", "Bearer " + key);
    }
    if (body.length > 0) {
      request.payloadBody(client.executionContext().bufferAllocator().wrap(body));
    }
    return client
        .request(request)
        .timeout(Duration.ofMillis(timeoutMs))
        .map(LoadClient::replyOf)
        .onErrorReturn(LoadClient::replyForFailure)
        .beforeOnSuccess(reply -> replaceAfterFailure(reply, client))
        .toCompletionStage();
  }

  private static HttpRequestMethod.Properties propertiesOf(String method) {
    return method.equals("GET")
        ? HttpRequestMethod.Properties.SAFE_IDEMPOTENT_CACHEABLE
        : HttpRequestMethod.Properties.NONE;
  }

  private static Reply replyOf(HttpResponse response) {
    return new Reply(
        Kind.ANSWERED,
        response.status().code(),
        (int) headerNumber(response, "Laburnumarch-Result"),
        headerNumber(response, "Retry-After") * 1_000,
        response.payloadBody().toString(StandardCharsets.UTF_8));
  }

  private static long headerNumber(HttpResponse response, String name) {
    CharSequence value = response.headers().get(name);
    try {
      return value == null ? 0 : Long.parseLong(value.toString().trim());
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static Reply replyForFailure(Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    if (cause instanceof RetryableException || cause instanceof ConnectException) {
      return Reply.withoutResponse(Kind.NOT_SENT, cause.toString());
    }
    return Reply.withoutResponse(
        cause instanceof TimeoutException ? Kind.TIMED_OUT : Kind.CONNECTION_LOST,
        cause.toString());
  }

  /**
   * Replaces the client after a failure, because the library's load balancer avoids an address for
   * seconds after failed connects and a new client tries at once.
   */
  private void replaceAfterFailure(Reply reply, HttpClient client) {
    if (reply.kind() == Kind.ANSWERED || current.get() != client) {
      return;
    }
    HttpClient replacement = open();
    if (current.compareAndSet(client, replacement)) {
      client.closeAsyncGracefully().subscribe();
    } else {
      replacement.closeAsync().subscribe();
    }
  }

  private HttpClient open() {
    return HttpClients.forResolvedAddress(address)
        .executionStrategy(offloadNone())
        .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
        .build();
  }

  @Override
  public void close() {
    current.get().closeAsync().subscribe();
  }
}
