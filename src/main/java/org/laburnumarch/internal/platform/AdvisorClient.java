package org.laburnumarch.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.http.api.HttpRequestMethod;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.http.PlatformHttpClient;
import org.laburnumarch.internal.http.PlatformHttpClient.Response;
import org.laburnumarch.spi.PlatformException;

/** Asks the advisory service which workers may run a step. */
public final class AdvisorClient implements AutoCloseable {

  /** Maximum number of workers in one call. */
  public static final int MAX_WORKERS_PER_CALL = 100;

  private static final int OK = 200;

  private final PlatformHttpClient client;

  /** Creates a client; no connection is opened before the first call. */
  public AdvisorClient(InetSocketAddress address, EventLoopThread loop) {
    this.client = new PlatformHttpClient(address, loop);
  }

  /**
   * The advisory service's response: the workers that may run a step.
   *
   * @param tickets the ticket of each allowed worker, by worker id
   * @param validityMs how long the tickets are valid, in milliseconds
   */
  public record Advice(Map<String, String> tickets, long validityMs) {

    /** Copies the map. */
    public Advice {
      tickets = Map.copyOf(tickets);
    }
  }

  /**
   * Asks which of the workers may run a step.
   *
   * @param step the step's name
   * @param workerIds the workers, at most {@link #MAX_WORKERS_PER_CALL}
   * @param timeoutMs time limit of the call, in milliseconds
   */
  public CompletionStage<Advice> advise(String step, List<String> workerIds, long timeoutMs) {
    ObjectNode body = Json.object().put("step", step);
    ArrayNode workers = body.putArray("workers");
    workerIds.forEach(workers::add);
    return client.call(
        HttpRequestMethod.POST,
        "/v1/advise",
        Map.of("Content-Type", "application/json"),
        Json.encode(body),
        timeoutMs,
        AdvisorClient::toAdvice);
  }

  private static Advice toAdvice(Response response) {
    if (response.status() != OK) {
      throw PlatformException.withoutEffect(
          "the advisory service responded with status " + response.status(), null);
    }
    try {
      JsonNode root = Json.parse(response.bytes());
      Map<String, String> tickets = new HashMap<>();
      for (JsonNode row : root.path("allowed")) {
        tickets.put(row.path(0).asText(), row.path(1).asText());
      }
      return new Advice(tickets, Json.numberOr(root, "validityMs", 0));
    } catch (MalformedMessageException e) {
      throw PlatformException.withoutEffect("the advisory service's response cannot be parsed", e);
    }
  }

  /** Closes all connections; calls in flight fail. */
  @Override
  public void close() {
    client.close();
  }
}
