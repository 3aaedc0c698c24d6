package org.laburnumarch.internal.http;

import static org.laburnumarch.internal.http.PlatformAnswers.requiredText;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.http.api.HttpRequestMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.spi.InstanceList;
import org.laburnumarch.spi.ListedInstance;

/** The platform's instance list over HTTP. */
public final class HttpInstanceList implements InstanceList, AutoCloseable {

  /** The list lags by seconds anyway; the last one stays in use when a fetch fails. */
  public static final long FETCH_TIMEOUT_MS = 2_000;

  private static final byte[] NOTHING = new byte[0];

  private final PlatformHttpClient client;

  /**
   * Creates an adapter; no connection is opened before the first call.
   *
   * @param address IP number and port of the instance list
   */
  public HttpInstanceList(InetSocketAddress address) {
    this.client = new PlatformHttpClient(address);
  }

  @Override
  public CompletionStage<List<ListedInstance>> fetch() {
    return client.call(
        HttpRequestMethod.GET,
        "/v1/instances",
        NOTHING,
        FETCH_TIMEOUT_MS,
        answer -> PlatformAnswers.parseRead("instance list", answer, HttpInstanceList::instances));
  }

  private static List<ListedInstance> instances(JsonNode node) {
    JsonNode items = node.get("instances");
    if (items == null || !items.isArray()) {
      throw new IllegalArgumentException("field instances is missing or no list");
    }
    List<ListedInstance> found = new ArrayList<>();
    for (JsonNode item : items) {
      found.add(instance(item));
    }
    return List.copyOf(found);
  }

  private static ListedInstance instance(JsonNode item) {
    return new ListedInstance(
        requiredText(item, "id"),
        ListedInstance.Kind.valueOf(requiredText(item, "kind")),
        requiredText(item, "dataCentre"),
        requiredText(item, "rack"),
        requiredText(item, "address"),
        item.path("pool").asText(""),
        ListedInstance.State.valueOf(requiredText(item, "state")));
  }

  /** Closes all connections; calls in flight fail. */
  @Override
  public void close() {
    client.close();
  }
}
