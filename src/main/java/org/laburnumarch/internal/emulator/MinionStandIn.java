package org.laburnumarch.internal.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.laburnumarch.internal.time.MonotonicClock;

/**
 * Stand-in for a backend server with a number of slots; further requests wait in a FIFO queue.
 *
 * <p>The request's id is the header {@code Request-Id} or else the last segment of the path. The
 * team is the header {@code Laburnumarch-Team} or else the part of the id before {@code ~}. The
 * response echoes both. Fields of a {@code POST /control}, all optional: {@code leaving} (responses
 * have the header {@code Leaving: true}), {@code refuse} (503, not run), {@code silenceExisting}
 * (no further responses on the connections that are open now), {@code silentNext}, {@code
 * truncateNext} and {@code closeNext} (that many requests run but get no complete response), {@code
 * meanMs} (service time). {@code GET /stats} returns the run counts, {@code ?runs=false} omits
 * those by request id.
 */
public final class MinionStandIn implements AutoCloseable {

  private static final MonotonicClock CLOCK = MonotonicClock.system();

  /** A request that waits for a slot. */
  private record QueuedRequest(
      StandInRequest request, CompletableFuture<StandInResponse> response) {}

  private final String name;
  private final ServiceTimes serviceTimes;
  private final TeamConcurrency teamConcurrency;
  private final Timer timer;
  private final RunCounters counters = new RunCounters();
  private final Queue<QueuedRequest> queue = new ArrayDeque<>();
  private final AtomicLong silentNext = new AtomicLong();
  private final AtomicLong truncateNext = new AtomicLong();
  private final AtomicLong closeNext = new AtomicLong();
  private final StandInServer server;
  private int freeSlots;
  private volatile boolean isRefusing;

  /**
   * Starts a minion.
   *
   * @param address where to listen; port 0 picks a free one
   * @param limits slots and connections
   * @param serviceTimes service times
   * @param teamConcurrency tracks the runs of several minions
   * @param timer ends the runs; closed by the caller
   */
  MinionStandIn(
      InetSocketAddress address,
      MinionLimits limits,
      ServiceTimes serviceTimes,
      TeamConcurrency teamConcurrency,
      Timer timer)
      throws Exception {
    this.serviceTimes = serviceTimes;
    this.teamConcurrency = teamConcurrency;
    this.timer = timer;
    this.freeSlots = limits.slots();
    this.server = StandInServer.start(address, limits.connections(), this::handle);
    this.name = Addresses.format(server.address());
  }

  /** Returns where the minion listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  private CompletionStage<StandInResponse> handle(StandInRequest request) {
    return switch (request.path()) {
      case "/control" -> CompletableFuture.completedFuture(control(request.json()));
      case "/stats" -> CompletableFuture.completedFuture(stats(request));
      default -> accept(request);
    };
  }

  private StandInResponse control(JsonNode settings) {
    if (settings.has("leaving")) {
      counters.setLeaving(settings.get("leaving").asBoolean(), CLOCK.nowMs());
    }
    isRefusing = settings.path("refuse").asBoolean(isRefusing);
    silentNext.set(settings.path("silentNext").asLong(silentNext.get()));
    truncateNext.set(settings.path("truncateNext").asLong(truncateNext.get()));
    closeNext.set(settings.path("closeNext").asLong(closeNext.get()));
    if (settings.has("meanMs")) {
      serviceTimes.setMean(settings.get("meanMs").asDouble());
    }
    if (settings.path("silenceExisting").asBoolean()) {
      server.connections().silenceExisting();
    }
    return StandInResponse.json(200, JsonNodeFactory.instance.objectNode().put("minion", name));
  }

  private StandInResponse stats(StandInRequest request) {
    ObjectNode body = JsonNodeFactory.instance.objectNode().put("minion", name);
    counters.write(body, !"false".equals(request.head().queryParameter("runs")));
    teamConcurrency.write(body);
    body.put("maxConnections", server.connections().maxOpenCount());
    body.put("refusedConnections", server.connections().refusedCount());
    return StandInResponse.json(200, body);
  }

  private CompletionStage<StandInResponse> accept(StandInRequest request) {
    if (isRefusing) {
      counters.countOrderedRefusal();
      return CompletableFuture.completedFuture(refusal("refuses work as configured"));
    }
    QueuedRequest next = new QueuedRequest(request, new CompletableFuture<>());
    synchronized (queue) {
      queue.add(next);
    }
    startQueued();
    return next.response();
  }

  private void startQueued() {
    QueuedRequest next = dequeue();
    while (next != null) {
      start(next);
      next = dequeue();
    }
  }

  private QueuedRequest dequeue() {
    synchronized (queue) {
      if (freeSlots == 0 || queue.isEmpty()) {
        return null;
      }
      freeSlots--;
      return queue.remove();
    }
  }

  private void start(QueuedRequest next) {
    if (isLate(next.request())) {
      counters.countLateRefusal();
      releaseSlot();
      next.response().complete(refusal("deadline has passed"));
      return;
    }
    String id = requestId(next.request());
    String team = team(next.request(), id);
    counters.start(id, team, CLOCK.nowMs());
    teamConcurrency.start(team);
    timer.schedule(serviceTimes.nextMicros(), TimeUnit.MICROSECONDS, () -> end(next, id, team));
  }

  private void end(QueuedRequest done, String id, String team) {
    counters.end();
    teamConcurrency.end(team);
    releaseSlot();
    done.response().complete(response(done.request(), id, team));
    startQueued();
  }

  private void releaseSlot() {
    synchronized (queue) {
      freeSlots++;
    }
  }

  private StandInResponse response(StandInRequest request, String id, String team) {
    byte[] body =
        JsonNodeFactory.instance
            .objectNode()
            .put("requestId", id)
            .put("team", team)
            .put("method", request.method())
            .put("bodyBytes", request.body().length)
            .put("minion", name)
            .toString()
            .getBytes(StandardCharsets.UTF_8);
    if (decrementIfPositive(silentNext)) {
      return new StandInResponse.NoResponse();
    }
    if (decrementIfPositive(closeNext)) {
      return new StandInResponse.Disconnect();
    }
    if (decrementIfPositive(truncateNext)) {
      return new StandInResponse.Truncated(200, body);
    }
    return new StandInResponse.Complete(200, headers(), body);
  }

  private Map<String, String> headers() {
    Map<String, String> headers = new HashMap<>();
    headers.put("content-type", "application/json");
    if (counters.isLeaving()) {
      headers.put("Leaving", "true");
    }
    return headers;
  }

  private StandInResponse refusal(String reason) {
    return new StandInResponse.Complete(503, headers(), reason.getBytes(StandardCharsets.UTF_8));
  }

  private static boolean decrementIfPositive(AtomicLong count) {
    return count.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
  }

  private static boolean isLate(StandInRequest request) {
    return request
        .header("Request-Deadline-Epoch-Ms")
        .filter(deadline -> Long.parseLong(deadline) < System.currentTimeMillis())
        .isPresent();
  }

  private static String requestId(StandInRequest request) {
    return request
        .header("Request-Id")
        .orElseGet(() -> request.path().substring(request.path().lastIndexOf('/') + 1));
  }

  private static String team(StandInRequest request, String id) {
    int separator = id.indexOf('~');
    return request
        .header("Laburnumarch-Team")
        .orElse(separator > 0 ? id.substring(0, separator) : "unknown");
  }

  @Override
  public void close() {
    server.close();
  }
}
