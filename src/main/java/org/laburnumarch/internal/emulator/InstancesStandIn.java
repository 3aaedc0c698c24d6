package org.laburnumarch.internal.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.laburnumarch.spi.ListedInstance;
import org.laburnumarch.spi.PoolControl.Status;

/**
 * Stand-in for the platform's instance list, which shows changes after a delay, and for its pool
 * control.
 *
 * <p>Fields of a {@code POST /control}, all optional: {@code add} (instances as the list shows
 * them), {@code remove}, {@code leaving} and {@code live} (ids), {@code failReboots} (ids whose
 * next reboot fails), {@code lagMs}, {@code outage} ({@code none}, {@code unavailable} for 503,
 * {@code silent}), {@code silenceExisting} (no further responses on the connections that are open
 * now).
 */
public final class InstancesStandIn implements AutoCloseable {

  private static final int MAX_CONNECTIONS = 1_024;
  private static final String PATH = "/v1/instances";

  /** The kind of outage that the stand-in simulates. */
  private enum Outage {
    NONE,
    UNAVAILABLE,
    SILENT
  }

  private final InstanceTable table = new InstanceTable();
  private final long workMs;
  private final Timer timer = new Timer("instances-stand-in");
  private final StandInServer server;
  private volatile long lagMs;
  private volatile Outage outage = Outage.NONE;

  private InstancesStandIn(InetSocketAddress address, long lagMs, long workMs) throws Exception {
    this.lagMs = lagMs;
    this.workMs = workMs;
    this.server = StandInServer.start(address, MAX_CONNECTIONS, this::handle);
  }

  /**
   * Starts the stand-in.
   *
   * @param address where to listen; port 0 picks a free one
   * @param lagMs delay until the list shows a change
   * @param workMs duration of a drain or a reboot
   */
  public static InstancesStandIn start(InetSocketAddress address, long lagMs, long workMs)
      throws Exception {
    return new InstancesStandIn(address, lagMs, workMs);
  }

  /** Returns where the stand-in listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  private CompletionStage<StandInResponse> handle(StandInRequest request) {
    return CompletableFuture.completedFuture(
        request.path().equals("/control") ? control(request.json()) : serveUnlessOutage(request));
  }

  private StandInResponse serveUnlessOutage(StandInRequest request) {
    return switch (outage) {
      case SILENT -> new StandInResponse.NoResponse();
      case UNAVAILABLE -> StandInResponse.text(503, "instance list unavailable");
      case NONE -> serve(request);
    };
  }

  /** Applies a control request. */
  StandInResponse control(JsonNode settings) {
    lagMs = settings.path("lagMs").asLong(lagMs);
    if (settings.has("outage")) {
      outage = Outage.valueOf(settings.get("outage").asText().toUpperCase(Locale.ROOT));
    }
    settings.path("add").forEach(table::add);
    settings.path("remove").forEach(id -> table.remove(id.asText()));
    settings
        .path("leaving")
        .forEach(id -> table.setState(id.asText(), ListedInstance.State.LEAVING));
    settings.path("live").forEach(id -> table.setState(id.asText(), ListedInstance.State.LIVE));
    settings.path("failReboots").forEach(id -> table.failNextReboot(id.asText()));
    if (settings.path("silenceExisting").asBoolean()) {
      server.connections().silenceExisting();
    }
    publishAfterLag();
    return StandInResponse.json(
        200, JsonNodeFactory.instance.objectNode().put("instances", table.current().size()));
  }

  private void publishAfterLag() {
    List<ListedInstance> changed = table.current();
    if (lagMs <= 0) {
      table.publish(changed);
    } else {
      timer.schedule(lagMs, TimeUnit.MILLISECONDS, () -> table.publish(changed));
    }
  }

  private StandInResponse serve(StandInRequest request) {
    String path = request.path();
    if (path.equals(PATH)) {
      return list();
    }
    if (!path.startsWith(PATH + "/")) {
      return StandInResponse.text(404, "no such path " + path);
    }
    String[] parts = path.substring(PATH.length() + 1).split("/", -1);
    if (table.status(parts[0]).isEmpty()) {
      return StandInResponse.text(404, "no instance " + parts[0]);
    }
    if (parts.length == 1 && request.method().equals("GET")) {
      return statusOf(parts[0]);
    }
    if (parts.length == 2 && request.method().equals("POST")) {
      return executeOrder(parts[0], parts[1]);
    }
    return StandInResponse.text(404, "no such path " + path);
  }

  private StandInResponse executeOrder(String id, String action) {
    return switch (action) {
      case "drain" -> drain(id);
      case "reboot" -> reboot(id);
      default -> StandInResponse.text(404, "no such action " + action);
    };
  }

  private StandInResponse drain(String id) {
    if (table.changeStatus(id, EnumSet.of(Status.SERVING, Status.FAILED), Status.DRAINING)) {
      finishLater(id, Status.DRAINING, Status.DRAINED);
    }
    return statusIf(id, EnumSet.of(Status.DRAINING, Status.DRAINED));
  }

  private StandInResponse reboot(String id) {
    if (table.changeStatus(id, EnumSet.of(Status.DRAINED, Status.FAILED), Status.REBOOTING)) {
      finishLater(id, Status.REBOOTING, Status.SERVING);
    }
    return statusIf(id, EnumSet.of(Status.REBOOTING));
  }

  private void finishLater(String id, Status during, Status after) {
    timer.schedule(workMs, TimeUnit.MILLISECONDS, () -> finish(id, during, after));
  }

  /**
   * Returns the status if it is one of {@code accepted}; otherwise a conflict. A repeated order
   * thus succeeds while it is executed.
   */
  private StandInResponse statusIf(String id, EnumSet<Status> accepted) {
    return table.status(id).filter(accepted::contains).isPresent()
        ? statusOf(id)
        : StandInResponse.text(409, id + " is " + statusName(id));
  }

  private void finish(String id, Status during, Status after) {
    boolean fails = during == Status.REBOOTING && table.consumeRebootFailure(id);
    table.changeStatus(id, EnumSet.of(during), fails ? Status.FAILED : after);
  }

  private StandInResponse statusOf(String id) {
    return StandInResponse.json(
        200, JsonNodeFactory.instance.objectNode().put("id", id).put("status", statusName(id)));
  }

  private String statusName(String id) {
    return table.status(id).map(Enum::name).orElse("");
  }

  private StandInResponse list() {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    ArrayNode items = body.putArray("instances");
    for (ListedInstance shown : table.visible()) {
      items
          .addObject()
          .put("id", shown.id())
          .put("kind", shown.kind().name())
          .put("dataCentre", shown.dataCentre())
          .put("rack", shown.rack())
          .put("address", shown.address())
          .put("pool", shown.pool())
          .put("state", shown.state().name());
    }
    return StandInResponse.json(200, body);
  }

  @Override
  public void close() {
    timer.close();
    server.close();
  }
}
