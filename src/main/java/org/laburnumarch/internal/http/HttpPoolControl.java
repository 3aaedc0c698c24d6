package org.laburnumarch.internal.http;

import static org.laburnumarch.internal.http.PlatformResponses.requiredText;

import io.servicetalk.http.api.HttpRequestMethod;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.spi.PoolControl;

/** Drains and reboots instances through the platform's HTTP interface. */
public final class HttpPoolControl implements PoolControl, AutoCloseable {

  /**
   * Time limit of each call. It is short, because a call only starts a drain or a reboot, returns
   * at once and may be repeated; {@link #status} reports the progress.
   */
  public static final long CALL_TIMEOUT_MS = 2_000;

  private static final byte[] NO_BODY = new byte[0];

  private final PlatformHttpClient client;

  /**
   * Creates an adapter; no connection is opened before the first call.
   *
   * @param address IP address and port of the service that drains and reboots instances
   */
  public HttpPoolControl(InetSocketAddress address) {
    this.client = new PlatformHttpClient(address);
  }

  @Override
  public CompletionStage<Void> drain(String instance) {
    return sendOrder(instance, "drain");
  }

  @Override
  public CompletionStage<Void> reboot(String instance) {
    return sendOrder(instance, "reboot");
  }

  private CompletionStage<Void> sendOrder(String instance, String action) {
    return client.call(
        HttpRequestMethod.POST,
        pathOf(instance) + "/" + action,
        NO_BODY,
        CALL_TIMEOUT_MS,
        response -> PlatformResponses.<Void>parseEffect(action, response, node -> null));
  }

  @Override
  public CompletionStage<Status> status(String instance) {
    return client.call(
        HttpRequestMethod.GET,
        pathOf(instance),
        NO_BODY,
        CALL_TIMEOUT_MS,
        response ->
            PlatformResponses.parseRead(
                "status", response, node -> Status.valueOf(requiredText(node, "status"))));
  }

  private static String pathOf(String instance) {
    return "/v1/instances/" + URLEncoder.encode(instance, StandardCharsets.UTF_8);
  }

  /** Closes all connections; calls in flight fail. */
  @Override
  public void close() {
    client.close();
  }
}
