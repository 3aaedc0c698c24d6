package org.laburnumarch.internal.http;

import static io.servicetalk.http.api.HttpExecutionStrategies.offloadNone;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.context.api.ContextMap;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.SingleAddressHttpClientBuilder;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.RetryableException;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.laburnumarch.spi.PlatformException;
import org.tinylog.Logger;

/**
 * Non-blocking HTTP calls to one address of the platform.
 *
 * <p>Each call has a deadline. After a failed connect, a timeout or a lost connection, the client
 * with all its connections is replaced and the next call opens a new connection, so that a
 * connection that no longer responds does not stay in use. Responses are complete; all stages fail
 * with {@link PlatformException}.
 */
public final class PlatformHttpClient implements AutoCloseable {

  /**
   * Shorter than the time limit of an order: a call whose time ends before its connect counts as
   * one that may take effect. A connect takes 1 to 2 ms within one region, and over a second after
   * a lost SYN.
   */
  public static final int CONNECT_TIMEOUT_MS = 300;

  private static final ContextMap.Key<LongConsumer> CONNECTION_LISTENER =
      ContextMap.Key.newKey("connectionListener", LongConsumer.class);

  private final InetSocketAddress address;
  private final Optional<EventLoopThread> loop;
  private final LongSupplier clock;

  /** The client in use; null before the first call and after a failed one. */
  private final AtomicReference<HttpClient> current;

  private volatile boolean isClosed;

  /**
   * Creates a client; no connection is opened before the first call.
   *
   * @param address IP address and port of the platform's service
   */
  public PlatformHttpClient(InetSocketAddress address) {
    this(address, Optional.empty(), System::nanoTime);
  }

  /**
   * Creates a client whose sockets, timers and callbacks run on the thread of an event loop.
   *
   * @param address IP address and port of the platform's service
   * @param loop the event loop
   */
  public PlatformHttpClient(InetSocketAddress address, EventLoopThread loop) {
    this(address, Optional.of(loop), System::nanoTime);
  }

  /**
   * Creates a client that tells the age of its connections, and whose sockets, timers and callbacks
   * run on the thread of an event loop.
   *
   * @param address IP address and port of the platform's service
   * @param loop the event loop
   * @param clock measures when connections are made
   */
  public PlatformHttpClient(InetSocketAddress address, EventLoopThread loop, LongSupplier clock) {
    this(address, Optional.of(loop), clock);
  }

  private PlatformHttpClient(
      InetSocketAddress address, Optional<EventLoopThread> loop, LongSupplier clock) {
    this.address = Objects.requireNonNull(address, "address");
    this.loop = loop;
    this.clock = clock;
    this.current = new AtomicReference<>();
  }

  /**
   * A response with its complete body.
   *
   * @param status the HTTP status code
   * @param bytes the body; may be empty
   * @param retryAfterSeconds value of the Retry-After header; empty if it is missing or malformed
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Response(int status, byte[] bytes, Optional<Long> retryAfterSeconds) {

    /** Returns the body as text. */
    public String body() {
      return new String(bytes, StandardCharsets.UTF_8);
    }
  }

  /**
   * Sends one request.
   *
   * @param method the HTTP method
   * @param target path and query
   * @param body the request's body; may be empty
   * @param timeoutMs time limit of the call, in milliseconds
   * @param parse converts the response to the result or throws {@link PlatformException}
   */
  public <T> CompletionStage<T> call(
      HttpRequestMethod method,
      String target,
      byte[] body,
      long timeoutMs,
      Function<Response, T> parse) {
    return call(method, target, Map.of(), body, timeoutMs, parse);
  }

  /**
   * Sends one request with additional headers.
   *
   * @param method the HTTP method
   * @param target path and query
   * @param headers names and values of the headers to add
   * @param body the request's body; may be empty
   * @param timeoutMs time limit of the call, in milliseconds
   * @param parse converts the response to the result or throws {@link PlatformException}
   */
  public <T> CompletionStage<T> call(
      HttpRequestMethod method,
      String target,
      Map<String, String> headers,
      byte[] body,
      long timeoutMs,
      Function<Response, T> parse) {
    return call(method, target, headers, body, timeoutMs, connectedAt -> {}, parse);
  }

  /**
   * Sends one request with additional headers.
   *
   * @param method the HTTP method
   * @param target path and query
   * @param headers names and values of the headers to add
   * @param body the request's body; may be empty
   * @param timeoutMs time limit of the call, in milliseconds
   * @param onConnection is told the time by which the connection was made, before the request is
   *     sent over it
   * @param parse converts the response to the result or throws {@link PlatformException}
   */
  public <T> CompletionStage<T> call(
      HttpRequestMethod method,
      String target,
      Map<String, String> headers,
      byte[] body,
      long timeoutMs,
      LongConsumer onConnection,
      Function<Response, T> parse) {
    if (isClosed) {
      return CompletableFuture.failedStage(
          PlatformException.withoutEffect("the connections to " + address + " are closed", null));
    }
    HttpClient client = openedClient();
    HttpRequest request = client.newRequest(method, target);
    request.context().put(CONNECTION_LISTENER, onConnection);
    headers.forEach(request::addHeader);
    if (body.length > 0) {
      request.payloadBody(client.executionContext().bufferAllocator().wrap(body));
    }
    CompletableFuture<T> result = new CompletableFuture<>();
    withTimeout(client.request(request), timeoutMs)
        .toCompletionStage()
        .whenComplete(
            (response, failure) -> {
              if (failure == null) {
                complete(result, toResponse(response), parse);
              } else {
                replace(client);
                result.completeExceptionally(classify(method + " " + target, failure));
              }
            });
    return result;
  }

  private Single<HttpResponse> withTimeout(Single<HttpResponse> response, long timeoutMs) {
    Duration timeout = Duration.ofMillis(timeoutMs);
    return loop.map(eventLoop -> response.timeout(timeout, eventLoop.timer()))
        .orElseGet(() -> response.timeout(timeout));
  }

  private static <T> void complete(
      CompletableFuture<T> result, Response response, Function<Response, T> parse) {
    try {
      result.complete(parse.apply(response));
    } catch (PlatformException e) {
      result.completeExceptionally(e);
    } catch (RuntimeException e) {
      result.completeExceptionally(
          PlatformException.withUnknownEffect("the response cannot be parsed: " + e, e));
    }
  }

  private static Response toResponse(HttpResponse response) {
    Buffer payload = response.payloadBody();
    byte[] bytes = new byte[payload.readableBytes()];
    payload.readBytes(bytes);
    return new Response(response.status().code(), bytes, retryAfterSeconds(response));
  }

  private static Optional<Long> retryAfterSeconds(HttpResponse response) {
    CharSequence header = response.headers().get("Retry-After");
    try {
      return header == null ? Optional.empty() : Optional.of(Long.valueOf(header.toString()));
    } catch (NumberFormatException e) {
      Logger.debug("platform: ignored a malformed Retry-After header: {}", header);
      return Optional.empty();
    }
  }

  private PlatformException classify(String call, Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    String message = call + " at " + address + " failed: " + cause;
    // Both types are thrown only before any part of the request has been written.
    return cause instanceof RetryableException || cause instanceof ConnectException
        ? PlatformException.withoutEffect(message, cause)
        : PlatformException.withUnknownEffect(message, cause);
  }

  private void replace(HttpClient failed) {
    if (current.compareAndSet(failed, null)) {
      Logger.debug("platform: connections to {} replaced", address);
      failed.closeAsyncGracefully().subscribe();
    }
  }

  /** Returns the client in use. Opening one is costly, so it is put off until a call needs it. */
  private HttpClient openedClient() {
    HttpClient known = current.get();
    if (known != null) {
      return known;
    }
    HttpClient opened = open();
    if (current.compareAndSet(null, opened)) {
      return opened;
    }
    opened.closeAsync().subscribe();
    return openedClient();
  }

  private HttpClient open() {
    SingleAddressHttpClientBuilder<InetSocketAddress, InetSocketAddress> builder =
        HttpClients.forResolvedAddress(address);
    loop.ifPresent(eventLoop -> builder.ioExecutor(eventLoop.ioExecutor()));
    return builder
        .executionStrategy(offloadNone())
        // A pipelined call would wait for a long poll on the same connection to end.
        .protocols(HttpProtocolConfigs.h1().maxPipelinedRequests(1).build())
        .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        // The callers decide which calls may be repeated.
        .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
        .appendConnectionFilter(connection -> new TimedConnection(connection, clock.getAsLong()))
        .build();
  }

  /** Tells each call when its connection was made. */
  @SuppressWarnings("try") // close() of the library may throw InterruptedException.
  private static final class TimedConnection extends StreamingHttpConnectionFilter {
    private final long connectedAt;

    TimedConnection(FilterableStreamingHttpConnection connection, long connectedAt) {
      super(connection);
      this.connectedAt = connectedAt;
    }

    @Override
    public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
      return Single.defer(
          () -> {
            LongConsumer listener = request.context().get(CONNECTION_LISTENER);
            if (listener != null) {
              listener.accept(connectedAt);
            }
            return delegate().request(request).shareContextOnSubscribe();
          });
    }
  }

  /** Closes all connections; calls in flight fail. */
  @Override
  public void close() {
    isClosed = true;
    HttpClient opened = current.getAndSet(null);
    if (opened != null) {
      opened.closeAsync().subscribe();
    }
  }
}
