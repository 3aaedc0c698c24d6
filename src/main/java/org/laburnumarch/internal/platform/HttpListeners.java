package org.laburnumarch.internal.platform;

import static io.servicetalk.buffer.api.ReadOnlyBufferAllocators.DEFAULT_RO_ALLOCATOR;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpService;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import org.laburnumarch.internal.http.EventLoopHttpServers;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.metrics.ExpositionText;
import org.laburnumarch.internal.metrics.Meters;

/** HTTP servers through which callers and the platform reach a daemon. */
public final class HttpListeners {

  private static final String READY_PATH = "/v1/ready";
  private static final String METRICS_PATH = "/metrics";

  private HttpListeners() {}

  /**
   * Starts the server for callers' requests.
   *
   * @throws Exception if the address cannot be bound
   */
  public static HttpServerContext listenForCallers(
      InetSocketAddress address, EventLoopThread loop, CallerService service) throws Exception {
    return EventLoopHttpServers.listen(address, loop, service);
  }

  /**
   * Starts the server for the platform's readiness check: status 200 while the daemon accepts new
   * connections, 503 otherwise.
   *
   * @throws Exception if the address cannot be bound
   */
  public static HttpServerContext listenForReadiness(
      InetSocketAddress address, EventLoopThread loop, BooleanSupplier isReady) throws Exception {
    HttpService service =
        (context, request, responses) ->
            Single.succeeded(
                !request.path().equals(READY_PATH)
                    ? responses.notFound()
                    : isReady.getAsBoolean() ? responses.ok() : responses.serviceUnavailable());
    return EventLoopHttpServers.listen(address, loop, service);
  }

  /**
   * Starts the server for metrics in the text exposition format.
   *
   * @throws Exception if the address cannot be bound
   */
  public static HttpServerContext listenForMetrics(
      InetSocketAddress address, EventLoopThread loop, Meters meters) throws Exception {
    HttpService service =
        (context, request, responses) ->
            Single.succeeded(
                request.path().equals(METRICS_PATH)
                    ? responses
                        .ok()
                        .setHeader("Content-Type", ExpositionText.CONTENT_TYPE)
                        .payloadBody(DEFAULT_RO_ALLOCATOR.fromUtf8(meters.render()))
                    : responses.notFound());
    return EventLoopHttpServers.listen(address, loop, service);
  }
}
