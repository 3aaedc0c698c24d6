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
 * Stand-in of the platform's instance list, which shows changes late, and of its pool control.
 *
 * <p>Fields of a {@code POST /control}, all optional: {@code add} (instances as the list shows
 * them), {@code remove}, {@code leaving}, {@code live} and {@code failReboots} (lists of ids),
 * {@code lagMs}, {@code outage} ({@code none}, {@code unavailable}, {@code silent}), {@code
 * silenceExisting}.
 */
public final class InstancesStandIn implements AutoCloseable {

  private static final int MAX_CONNECTIONS = 1_024;
  private static final String PATH = "/v1/instances";

  /** How the stand-in treats calls. */
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
   * @param lagMs how late the list shows a change
   * @param workMs how long a drain or a reboot takes
   */
  public static InstancesStandIn start(InetSocketAddress address, long lagMs, long workMs)
      throws Exception {
    return new InstancesStandIn(address, lagMs, workMs);
  }

  /** Returns where the stand-in listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  private CompletionStage<StandInAnswer> handle(StandInRequest request) {
    return CompletableFuture.completedFuture(
        request.path().equals("/control") ? control(request.json()) : serveUnlessOut(request));
  }

  private StandInAnswer serveUnlessOut(StandInRequest request) {
    return switch (outage) {
      case SILENT -> new StandInAnswer.Silence();
      case UNAVAILABLE -> StandInAnswer.text(503, "instance list unavailable");
      case NONE -> serve(request);
    };
  }

  /** Carries out a control request. */
  StandInAnswer control(JsonNode order) {
    lagMs = order.path("lagMs").asLong(lagMs);
    if (order.has("outage")) {
      outage = Outage.valueOf(order.get("outage").asText().toUpperCase(Locale.ROOT));
    }
    order.path("add").forEach(table::add);
    order.path("remove").forEach(id -> table.remove(id.asText()));
    order.path("leaving").forEach(id -> table.mark(id.asText(), ListedInstance.State.LEAVING));
    order.path("live").forEach(id -> table.mark(id.asText(), ListedInstance.State.LIVE));
    order.path("failReboots").forEach(id -> table.failNextReboot(id.asText()));
    if (order.path("silenceExisting").asBoolean()) {
      server.connections().silenceExisting();
    }
    showLater();
    return StandInAnswer.json(
        200, JsonNodeFactory.instance.objectNode().put("instances", table.now().size()));
  }

  private void showLater() {
    List<ListedInstance> changed = table.now();
    if (lagMs <= 0) {
      table.show(changed);
    } else {
      timer.after(lagMs, TimeUnit.MILLISECONDS, () -> table.show(changed));
    }
  }

  private StandInAnswer serve(StandInRequest request) {
    String path = request.path();
    if (path.equals(PATH)) {
      return list();
    }
    if (!path.startsWith(PATH + "/")) {
      return StandInAnswer.text(404, "no such path " + path);
    }
    String[] parts = path.substring(PATH.length() + 1).split("/", -1);
    if (table.status(parts[0]).isEmpty()) {
      return StandInAnswer.text(404, "no instance " + parts[0]);
    }
    if (parts.length == 1 && request.method().equals("GET")) {
      return statusOf(parts[0]);
    }
    if (parts.length == 2 && request.method().equals("POST")) {
      return order(parts[0], parts[1]);
    }
    return StandInAnswer.text(404, "no such path " + path);
  }

  private StandInAnswer order(String id, String action) {
    return switch (action) {
      case "drain" -> drain(id);
      case "reboot" -> reboot(id);
      default -> StandInAnswer.text(404, "no such action " + action);
    };
  }

  private StandInAnswer drain(String id) {
    if (table.advance(id, EnumSet.of(Status.SERVING, Status.FAILED), Status.DRAINING)) {
      later(id, Status.DRAINING, Status.DRAINED);
    }
    return answerIf(id, EnumSet.of(Status.DRAINING, Status.DRAINED));
  }

  private StandInAnswer reboot(String id) {
    if (table.advance(id, EnumSet.of(Status.DRAINED, Status.FAILED), Status.REBOOTING)) {
      later(id, Status.REBOOTING, Status.SERVING);
    }
    return answerIf(id, EnumSet.of(Status.REBOOTING));
  }

  private void later(String id, Status during, Status after) {
    timer.after(workMs, TimeUnit.MILLISECONDS, () -> finish(id, during, after));
  }

  /** Repeating an order that is under way changes nothing; any other state refuses it. */
  private StandInAnswer answerIf(String id, EnumSet<Status> accepted) {
    return table.status(id).filter(accepted::contains).isPresent()
        ? statusOf(id)
        : StandInAnswer.text(409, id + " is " + statusName(id));
  }

  private void finish(String id, Status during, Status after) {
    boolean fails = during == Status.REBOOTING && table.takeRebootFailure(id);
    table.advance(id, EnumSet.of(during), fails ? Status.FAILED : after);
  }

  private StandInAnswer statusOf(String id) {
    return StandInAnswer.json(
        200, JsonNodeFactory.instance.objectNode().put("id", id).put("status", statusName(id)));
  }

  private String statusName(String id) {
    return table.status(id).map(Enum::name).orElse("");
  }

  private StandInAnswer list() {
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
    return StandInAnswer.json(200, body);
  }

  @Override
  public void close() {
    timer.close();
    server.close();
  }
}
