package org.laburnumarch.internal.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.laburnumarch.internal.http.EventLoopHttpServers;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.platform.Json;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;
import org.laburnumarch.internal.schedule.EndedTask;
import org.laburnumarch.internal.schedule.Order;
import org.laburnumarch.internal.schedule.OrderReply;
import org.laburnumarch.internal.schedule.OrderReply.Outcome;
import org.laburnumarch.internal.schedule.Renewal;
import org.laburnumarch.internal.schedule.RunningTask;
import org.laburnumarch.internal.schedule.WorkerReport;
import org.laburnumarch.internal.time.SuspendAwareClock;

/**
 * Serves the worker protocol on the port of one instance, which runs at most one worker at a time.
 */
final class WorkerStandIn implements AutoCloseable {

  /** Maximum delay of an order that is carried out late. */
  private static final long MAX_ORDER_DELAY_MS = 4_000;

  private static final String TARGET_HEADER = "X-Target-Instance";
  private static final HttpResponseStatus MISDIRECTED =
      HttpResponseStatus.of(421, "Misdirected Request");

  /** Determines what a task does from its name and run number. */
  interface TaskBehaviours {
    Behaviour behaviour(String task, long run, long nowMs);
  }

  private final InetSocketAddress address;
  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private final TaskBehaviours taskBehaviours;
  private final Random random;
  private final HttpServerContext server;
  private final List<CompletableFuture<Boolean>> waitingRenewals = new ArrayList<>();
  private Optional<SimulatedWorker> currentWorker = Optional.empty();
  private double lateOrderFraction;

  /** Binds the address. Must not be called on the event loop's thread, unlike all other methods. */
  WorkerStandIn(
      InetSocketAddress address,
      EventLoopThread loop,
      SuspendAwareClock clock,
      TaskBehaviours taskBehaviours,
      long seed)
      throws Exception {
    this.address = address;
    this.loop = loop;
    this.clock = clock;
    this.taskBehaviours = taskBehaviours;
    this.random = new Random(seed);
    this.server = EventLoopHttpServers.listen(address, loop, this::handle);
  }

  /** Starts a worker on the instance. */
  void startWorker(SimulatedWorker worker) {
    currentWorker = Optional.of(worker);
  }

  /** Terminates the current worker; its runs are lost. */
  void terminateWorker(long nowMs) {
    currentWorker.ifPresent(worker -> worker.crash(nowMs));
    currentWorker = Optional.empty();
  }

  /** Returns the address at which the instance's worker listens. */
  InetSocketAddress address() {
    return address;
  }

  /** Returns the worker that runs here now. */
  Optional<SimulatedWorker> worker() {
    return currentWorker;
  }

  /** Sets the fraction of orders that are carried out seconds later without a response. */
  void delayOrders(double fraction) {
    this.lateOrderFraction = fraction;
  }

  /**
   * Advances the worker's time; completes waiting renewals once a run has ended or the worker was
   * terminated.
   */
  void advance(long nowMs) {
    currentWorker.ifPresent(worker -> worker.advance(nowMs));
    if (currentWorker.map(SimulatedWorker::hasUnacknowledgedEnds).orElse(true)
        && !waitingRenewals.isEmpty()) {
      List<CompletableFuture<Boolean>> due = List.copyOf(waitingRenewals);
      waitingRenewals.clear();
      due.forEach(renewal -> renewal.complete(true));
    }
  }

  private Single<HttpResponse> handle(
      HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
    String target = String.valueOf(request.headers().get(TARGET_HEADER));
    Optional<SimulatedWorker> addressed =
        currentWorker.filter(worker -> worker.id().equals(target));
    if (addressed.isEmpty()) {
      return Single.succeeded(responses.newResponse(MISDIRECTED));
    }
    SimulatedWorker worker = addressed.get();
    JsonNode body = HttpBodies.parseJson(request);
    return switch (request.path()) {
      case "/v1/run-start" -> execute(worker, responses, () -> start(worker, body));
      case "/v1/run-stop" -> execute(worker, responses, () -> stop(worker, body));
      case "/v1/hold" -> renew(worker, body, responses);
      default -> Single.succeeded(responses.notFound());
    };
  }

  /**
   * Executes an order, or lets it wait in the memory of the worker's process. What waits there is
   * lost when the process ends: the next one knows nothing of it.
   */
  private Single<HttpResponse> execute(
      SimulatedWorker worker, HttpResponseFactory responses, Supplier<OrderReply> operation) {
    if (random.nextDouble() < lateOrderFraction) {
      long receivedByStartedAtMs = worker.startedAtMs();
      loop.schedule(
          1 + random.nextLong(MAX_ORDER_DELAY_MS),
          () -> {
            boolean isSameProcess =
                currentWorker.filter(current -> current == worker).isPresent()
                    && worker.startedAtMs() == receivedByStartedAtMs;
            if (isSameProcess) {
              OrderReply unused = operation.get();
            }
          });
      return Single.never();
    }
    return Single.succeeded(toResponse(operation.get(), responses));
  }

  private OrderReply start(SimulatedWorker worker, JsonNode body) {
    String task = body.path("task").asText();
    long run = body.path("run").asLong();
    long nowMs = clock.nowMs();
    Order.Start order =
        new Order.Start(
            worker.id(),
            task,
            run,
            body.path("spec").asText(),
            body.path("deadlineMs").asLong(),
            body.path("checkpoint").asText(),
            body.path("ticket").asText());
    return worker.start(
        order, body.path("fenceToken").asLong(), taskBehaviours.behaviour(task, run, nowMs), nowMs);
  }

  private OrderReply stop(SimulatedWorker worker, JsonNode body) {
    Order.Stop order =
        new Order.Stop(worker.id(), body.path("task").asText(), body.path("run").asLong());
    return worker.stop(order, body.path("fenceToken").asLong(), clock.nowMs());
  }

  private static HttpResponse toResponse(OrderReply reply, HttpResponseFactory responses) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("clockMs", reply.workerClockMs());
    String reason =
        switch (reply.outcome()) {
          case FENCED -> "fence";
          case OUTDATED -> "old";
          case LATE -> "late";
          case NO_ROOM -> "room";
          default -> "";
        };
    if (reason.isEmpty()) {
      return HttpBodies.withJson(responses.ok(), body);
    }
    body.put("reason", reason);
    return HttpBodies.withJson(responses.conflict(), body);
  }

  private Single<HttpResponse> renew(
      SimulatedWorker worker, JsonNode body, HttpResponseFactory responses) {
    Renewal renewal =
        new Renewal(
            worker.id(),
            body.path("deadlineMs").asLong(-1),
            body.path("ackCursor").asLong(),
            body.path("waitMs").asLong());
    long token = body.path("fenceToken").asLong();
    WorkerReport report = worker.renew(renewal, token, clock.nowMs());
    if (report == null) {
      return Single.succeeded(
          toResponse(new OrderReply(Outcome.FENCED, worker.clockMs(clock.nowMs())), responses));
    }
    if (!report.ended().isEmpty() || renewal.waitMs() == 0) {
      return Single.succeeded(HttpBodies.withJson(responses.ok(), reportBody(report)));
    }
    CompletableFuture<Boolean> ready = new CompletableFuture<>();
    waitingRenewals.add(ready);
    loop.schedule(renewal.waitMs(), () -> ready.complete(false));
    return Single.fromStage(
        ready.thenApply(
            ignored ->
                HttpBodies.withJson(responses.ok(), reportBody(worker.report(clock.nowMs())))));
  }

  private static Map<String, Object> reportBody(WorkerReport report) {
    List<List<Object>> running = new ArrayList<>();
    for (RunningTask task : report.running()) {
      running.add(
          List.of(task.taskName(), task.run(), task.checkpoint(), task.percent(), task.load()));
    }
    List<List<Object>> ended = new ArrayList<>();
    for (EndedTask endedTask : report.ended()) {
      ended.add(
          List.of(
              endedTask.number(),
              endedTask.taskName(),
              endedTask.run(),
              endedTask.how().name().toLowerCase(Locale.ROOT),
              endedTask.checkpoint()));
    }
    return Map.of(
        "clockMs",
        report.workerClockMs(),
        "born",
        report.startedEpochMs(),
        "running",
        running,
        "finished",
        ended);
  }

  /** Returns the worker's entry in the registry. */
  Optional<byte[]> registryEntry(
      long heartbeatNumber, UnaryOperator<InetSocketAddress> advertisedAddress) {
    InetSocketAddress reachableAddress = advertisedAddress.apply(address);
    return currentWorker.map(
        worker -> {
          Map<String, Object> entry = new LinkedHashMap<>();
          entry.put("service", worker.service());
          entry.put("address", HttpBodies.formatAddress(reachableAddress));
          entry.put("zone", "north");
          entry.put("state", worker.isLeaving() ? "draining" : "ready");
          if (worker.isLeaving()) {
            entry.put("remainingMs", worker.remainingMs(clock.nowMs()));
          }
          entry.put("seq", heartbeatNumber);
          entry.put("born", worker.startedAtMs());
          entry.put(
              "capacity",
              Map.of(
                  "cpu", SimulatedWorker.CAPACITY.cpuMillis(),
                  "memMb", SimulatedWorker.CAPACITY.memoryMb(),
                  "gpus", 0));
          entry.put("labels", List.of("a", worker.rack()));
          return Json.encode(entry);
        });
  }

  /** Stops the server; the address refuses connections from now on. */
  @Override
  public void close() {
    server.closeAsync().subscribe();
  }
}
