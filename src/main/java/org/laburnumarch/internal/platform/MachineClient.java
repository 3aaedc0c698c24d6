package org.laburnumarch.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.http.api.HttpRequestMethod;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.http.PlatformHttpClient;
import org.laburnumarch.internal.http.PlatformHttpClient.Response;
import org.laburnumarch.internal.pool.Machine;
import org.laburnumarch.internal.pool.MachineOrderOutcome;
import org.laburnumarch.spi.PlatformException;

/** Lists instances and orders their moves and maintenance at the platform's machine service. */
public final class MachineClient implements AutoCloseable {

  /**
   * Time limit of a call. The service responds within milliseconds, and takes up to 50 times as
   * long when it is slow.
   */
  public static final long TIMEOUT_MS = 1_500;

  private static final byte[] NO_BODY = new byte[0];
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int BAD_REQUEST = 400;

  private final PlatformHttpClient client;
  private final String holder;

  /**
   * Creates a client.
   *
   * @param address address of the service
   * @param holder name under which this process sends orders
   * @param loop event loop that runs sockets and callbacks
   */
  public MachineClient(InetSocketAddress address, String holder, EventLoopThread loop) {
    this.client = new PlatformHttpClient(address, loop);
    this.holder = holder;
  }

  /** Lists all instances. */
  public CompletionStage<List<Machine>> list() {
    return listFrom("", new ArrayList<>());
  }

  private CompletionStage<List<Machine>> listFrom(String pageToken, List<Machine> machines) {
    String query =
        pageToken.isEmpty()
            ? ""
            : "?pageToken=" + URLEncoder.encode(pageToken, StandardCharsets.UTF_8);
    return client
        .call(
            HttpRequestMethod.GET,
            "/v1/machines" + query,
            NO_BODY,
            TIMEOUT_MS,
            response -> addPage(response, machines))
        .thenCompose(
            nextToken ->
                nextToken.isEmpty()
                    ? CompletableFuture.completedStage(List.copyOf(machines))
                    : listFrom(nextToken, machines));
  }

  private static String addPage(Response response, List<Machine> machines) {
    if (response.status() != OK) {
      throw PlatformException.withoutEffect(
          "the machine service responded with status " + response.status(), null);
    }
    try {
      JsonNode root = Json.parse(response.bytes());
      for (JsonNode node : root.path("machines")) {
        machines.add(toMachine(node));
      }
      return Json.textOr(root, "nextToken", "");
    } catch (MalformedMessageException e) {
      throw PlatformException.withoutEffect("the list of machines cannot be parsed", e);
    }
  }

  private static Machine toMachine(JsonNode node) throws MalformedMessageException {
    List<String> labels = new ArrayList<>();
    for (JsonNode label : node.path("labels")) {
      labels.add(label.asText());
    }
    Machine.State state =
        switch (Json.text(node, "state")) {
          case "up" -> Machine.State.UP;
          case "moving" -> Machine.State.MOVING;
          case "upkeep" -> Machine.State.MAINTENANCE;
          default -> Machine.State.DOWN;
        };
    return new Machine(
        Json.text(node, "machine"),
        Json.text(node, "pool"),
        state,
        Json.text(node, "zone"),
        labels,
        Json.textOr(node, "id", ""));
  }

  /** Moves an instance to another pool; everything that runs on it ends at once. */
  public CompletionStage<MachineOrderOutcome> move(String machine, String pool, long fencingToken) {
    return sendOrder(
        "/v1/machine-move", Json.object().put("machine", machine).put("pool", pool), fencingToken);
  }

  /** Takes an instance into maintenance; everything that runs on it ends at once. */
  public CompletionStage<MachineOrderOutcome> startMaintenance(
      String machine, long wave, long fencingToken) {
    return sendOrder(
        "/v1/machine-upkeep",
        Json.object().put("machine", machine).put("wave", wave),
        fencingToken);
  }

  private CompletionStage<MachineOrderOutcome> sendOrder(
      String target, ObjectNode body, long fencingToken) {
    Map<String, String> headers =
        Map.of(
            "Content-Type",
            "application/json",
            "X-Lease-Holder",
            holder,
            "X-Fencing-Token",
            Long.toString(fencingToken));
    return client
        .call(
            HttpRequestMethod.POST,
            target,
            headers,
            Json.encode(body),
            TIMEOUT_MS,
            MachineClient::toOutcome)
        .exceptionally(
            failure ->
                PlatformFailures.mayHaveTakenEffect(failure)
                    ? MachineOrderOutcome.UNKNOWN
                    : MachineOrderOutcome.REFUSED);
  }

  private static MachineOrderOutcome toOutcome(Response response) {
    return switch (response.status()) {
      case OK -> MachineOrderOutcome.DONE;
      case CONFLICT -> conflictOutcome(response);
      case BAD_REQUEST -> MachineOrderOutcome.IMPOSSIBLE;
      default -> MachineOrderOutcome.REFUSED;
    };
  }

  private static MachineOrderOutcome conflictOutcome(Response response) {
    try {
      return switch (Json.textOr(Json.parse(response.bytes()), "reason", "")) {
        case "fence" -> MachineOrderOutcome.FENCED;
        case "wave" -> MachineOrderOutcome.IMPOSSIBLE;
        default -> MachineOrderOutcome.REFUSED;
      };
    } catch (MalformedMessageException e) {
      return MachineOrderOutcome.UNKNOWN;
    }
  }

  /** Closes all connections; calls in flight fail. */
  @Override
  public void close() {
    client.close();
  }
}
