package org.laburnumarch.internal.emulator;

import static io.servicetalk.http.api.HttpExecutionStrategies.offloadNone;

import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.api.ConnectionObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.concurrent.CompletionStage;
import org.tinylog.Logger;

/**
 * An HTTP server whose handler may also send no response, close the connection or truncate a
 * response.
 */
final class StandInServer implements AutoCloseable {

  /** Handles requests. */
  @FunctionalInterface
  interface Handler {
    /** Returns the response to a request without blocking; the stage may complete later. */
    CompletionStage<StandInResponse> handle(StandInRequest request);
  }

  private final Handler handler;
  private final ConnectionTable connections;
  private final HttpServerContext context;

  private StandInServer(InetSocketAddress address, int maxConnections, Handler handler)
      throws Exception {
    this.handler = handler;
    this.connections = new ConnectionTable(maxConnections);
    this.context =
        HttpServers.forAddress(address)
            .executionStrategy(offloadNone())
            .transportObserver((local, remote) -> new RemovalObserver(connections, remote))
            .appendLateConnectionAcceptor(this::admit)
            .listenStreamingAndAwait(this::serve);
  }

  /**
   * Starts a server.
   *
   * @param address where to listen; port 0 picks a free one
   * @param maxConnections maximum number of open connections; further ones are closed
   */
  static StandInServer start(InetSocketAddress address, int maxConnections, Handler handler)
      throws Exception {
    return new StandInServer(address, maxConnections, handler);
  }

  private Completable admit(ConnectionInfo connection) {
    return connections.admit(connection.remoteAddress())
        ? Completable.completed()
        : Completable.failed(new IOException("connection limit reached"));
  }

  /** Removes a connection from the table when it is closed. */
  private record RemovalObserver(ConnectionTable connections, Object remote)
      implements ConnectionObserver {

    @Override
    public void connectionClosed() {
      connections.remove(remote);
    }

    @Override
    public void connectionClosed(Throwable error) {
      connections.remove(remote);
    }
  }

  private Single<StreamingHttpResponse> serve(
      HttpServiceContext connection,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory responses) {
    return request
        .toRequest()
        .flatMap(
            fullRequest -> {
              if (connections.isSilent(connection.remoteAddress())) {
                return Single.never();
              }
              return Single.fromStage(
                      handler.handle(StandInRequest.of(fullRequest, connection.remoteAddress())))
                  .flatMap(response -> renderResponse(response, connection, responses));
            })
        .onErrorResume(failure -> renderFailure(failure, connection, responses));
  }

  private static Single<StreamingHttpResponse> renderFailure(
      Throwable failure, HttpServiceContext connection, StreamingHttpResponseFactory responses) {
    Logger.warn("emulator: request failed and is answered with status 400: {}", failure.toString());
    return renderResponse(StandInResponse.text(400, failure.toString()), connection, responses);
  }

  private static Single<StreamingHttpResponse> renderResponse(
      StandInResponse response,
      HttpServiceContext connection,
      StreamingHttpResponseFactory responses) {
    BufferAllocator buffers = connection.executionContext().bufferAllocator();
    if (response instanceof StandInResponse.Complete complete) {
      StreamingHttpResponse httpResponse =
          withLength(responses, complete.status(), complete.body().length);
      complete.headers().forEach(httpResponse::setHeader);
      return Single.succeeded(
          httpResponse.payloadBody(Publisher.from(buffers.wrap(complete.body()))));
    }
    if (response instanceof StandInResponse.Truncated truncated) {
      byte[] half = Arrays.copyOf(truncated.body(), truncated.body().length / 2);
      StreamingHttpResponse httpResponse =
          withLength(responses, truncated.status(), truncated.body().length);
      return Single.succeeded(
          httpResponse.payloadBody(
              Publisher.from(buffers.wrap(half))
                  .concat(Publisher.failed(new IOException("response truncated as configured")))));
    }
    if (response instanceof StandInResponse.Disconnect) {
      connection.closeAsync().subscribe();
    }
    return Single.never();
  }

  private static StreamingHttpResponse withLength(
      StreamingHttpResponseFactory responses, int status, int lengthBytes) {
    return responses
        .newResponse(HttpResponseStatus.of(status, ""))
        .setHeader("content-length", Integer.toString(lengthBytes));
  }

  /** Returns where the server listens. */
  InetSocketAddress address() {
    return (InetSocketAddress) context.listenAddress();
  }

  /** Returns the open connections. */
  ConnectionTable connections() {
    return connections;
  }

  @Override
  public void close() {
    context.closeAsync().toCompletionStage().toCompletableFuture().join();
  }
}
