package org.laburnumarch.internal.cli;

import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.operator.FakeOperatorBackend;
import org.laburnumarch.internal.operator.KeySecrets;
import org.laburnumarch.internal.operator.OperatorHandler;
import org.laburnumarch.internal.operator.OperatorRequest;
import org.laburnumarch.internal.operator.OperatorResponse;
import org.laburnumarch.internal.operator.OperatorTokens;

/** A daemon's operator endpoint on the loopback address, over a backend without a log. */
public final class TestOperatorEndpoint implements AutoCloseable {

  /** Token of the operator anna. */
  public static final String TOKEN = "a-token";

  private final OperatorHandler handler;
  private final HttpServerContext server;
  private volatile boolean isNextResponseFailed;

  /** Starts the endpoint on a free port. */
  public TestOperatorEndpoint(FakeOperatorBackend backend) throws Exception {
    OperatorTokens tokens = new OperatorTokens(Map.of("anna", KeySecrets.digestOf(TOKEN)));
    handler = new OperatorHandler(backend, tokens);
    server =
        HttpServers.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .listenBlockingAndAwait(
                (context, request, factory) -> {
                  OperatorResponse response =
                      handler
                          .handle(
                              new OperatorRequest(
                                  request.method().name(),
                                  request.requestTarget(),
                                  token(request.headers().get("Authorization")),
                                  bytes(request.payloadBody().toString(StandardCharsets.UTF_8))))
                          .toCompletableFuture()
                          .join();
                  if (isNextResponseFailed) {
                    isNextResponseFailed = false;
                    throw new IllegalStateException("response dropped by the test");
                  }
                  return factory
                      .newResponse(HttpResponseStatus.of(response.status(), ""))
                      .payloadBody(
                          context
                              .executionContext()
                              .bufferAllocator()
                              .fromUtf8(response.bodyText()));
                });
  }

  /** Executes the next request, but responds with HTTP status 500 and no result. */
  public void failNextResponse() {
    isNextResponseFailed = true;
  }

  /** Returns the address as host:port. */
  public String address() {
    return "127.0.0.1:" + ((InetSocketAddress) server.listenAddress()).getPort();
  }

  /** Returns an address that refuses connections. */
  public static String refusingAddress() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return "127.0.0.1:" + socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the address of a listener that reads one request and closes without a response. */
  public static String closingAddress() throws IOException {
    ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    Thread thread =
        new Thread(
            () -> {
              try (listener;
                  Socket connection = listener.accept()) {
                connection.getInputStream().read(new byte[64]);
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            });
    thread.setDaemon(true);
    thread.start();
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private static Optional<String> token(CharSequence header) {
    return Optional.ofNullable(header).map(value -> value.toString().replace("Bearer ", ""));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void close() {
    server.closeAsync().subscribe();
  }
}
