package org.laburnumarch.internal.http;

import static org.laburnumarch.internal.http.PlatformAnswers.requiredText;

import io.servicetalk.http.api.HttpRequestMethod;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.spi.PoolControl;

/** The platform's drain and reboot of instances over HTTP. */
public final class HttpPoolControl implements PoolControl, AutoCloseable {

  /**
   * The calls only start a drain or a reboot and return at once; both may be repeated. Progress is
   * asked for by {@link #status}.
   */
  public static final long CALL_TIMEOUT_MS = 2_000;

  private static final byte[] NOTHING = new byte[0];

  private final PlatformHttpClient client;

  /**
   * Creates an adapter; no connection is opened before the first call.
   *
   * @param address IP number and port of the pools' control
   */
  public HttpPoolControl(InetSocketAddress address) {
    this.client = new PlatformHttpClient(address);
  }

  @Override
  public CompletionStage<Void> drain(String instance) {
    return order(instance, "drain");
  }

  @Override
  public CompletionStage<Void> reboot(String instance) {
    return order(instance, "reboot");
  }

  private CompletionStage<Void> order(String instance, String action) {
    return client.call(
        HttpRequestMethod.POST,
        pathOf(instance) + "/" + action,
        NOTHING,
        CALL_TIMEOUT_MS,
        answer -> PlatformAnswers.<Void>parseEffect(action, answer, node -> null));
  }

  @Override
  public CompletionStage<Status> status(String instance) {
    return client.call(
        HttpRequestMethod.GET,
        pathOf(instance),
        NOTHING,
        CALL_TIMEOUT_MS,
        answer ->
            PlatformAnswers.parseRead(
                "status", answer, node -> Status.valueOf(requiredText(node, "status"))));
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
