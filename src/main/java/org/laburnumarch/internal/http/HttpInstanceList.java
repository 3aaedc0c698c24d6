package org.laburnumarch.internal.http;

import static org.laburnumarch.internal.http.PlatformResponses.requiredText;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.http.api.HttpRequestMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.spi.InstanceList;
import org.laburnumarch.spi.ListedInstance;

/** Fetches the platform's instance list over HTTP. */
public final class HttpInstanceList implements InstanceList, AutoCloseable {

  /**
   * Time limit of a fetch. A failed one does little harm: the last list stays in use, and the list
   * lags by seconds in any case.
   */
  public static final long FETCH_TIMEOUT_MS = 2_000;

  private static final byte[] NO_BODY = new byte[0];

  private final PlatformHttpClient client;

  /**
   * Creates an adapter; no connection is opened before the first call.
   *
   * @param address IP address and port of the instance list
   */
  public HttpInstanceList(InetSocketAddress address) {
    this.client = new PlatformHttpClient(address);
  }

  @Override
  public CompletionStage<List<ListedInstance>> fetch() {
    return client.call(
        HttpRequestMethod.GET,
        "/v1/instances",
        NO_BODY,
        FETCH_TIMEOUT_MS,
        response ->
            PlatformResponses.parseRead(
                "instance list", response, HttpInstanceList::parseInstances));
  }

  private static List<ListedInstance> parseInstances(JsonNode node) {
    JsonNode rows = node.get("instances");
    if (rows == null || !rows.isArray()) {
      throw new IllegalArgumentException("field instances is missing or not a list");
    }
    List<ListedInstance> listed = new ArrayList<>();
    for (JsonNode row : rows) {
      listed.add(parseInstance(row));
    }
    return List.copyOf(listed);
  }

  private static ListedInstance parseInstance(JsonNode row) {
    return new ListedInstance(
        requiredText(row, "id"),
        ListedInstance.Kind.valueOf(requiredText(row, "kind")),
        requiredText(row, "dataCentre"),
        requiredText(row, "rack"),
        requiredText(row, "address"),
        row.path("pool").asText(""),
        ListedInstance.State.valueOf(requiredText(row, "state")));
  }

  /** Closes all connections; calls in flight fail. */
  @Override
  public void close() {
    client.close();
  }
}
