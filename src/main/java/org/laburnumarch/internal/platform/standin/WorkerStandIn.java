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
 * Thread-safe; a {@linkplain #concurrent concurrent} one runs on a thread of its own.
 */
final class WorkerStandIn implements AutoCloseable {

  /** Maximum delay of an order that is carried out late. */
  private static final long MAX_ORDER_DELAY_MS = 4_000;

  private static final String TARGET_HEADER = "X-Target-Instance";
  private static final HttpResponseStatus MISDIRECTED =
      HttpResponseStatus.of(421, "Misdirected Request");

  private static final long TICK_INTERVAL_MS = 20;

  private static final int MAX_USUAL_DELAY_MS = 20;
  private static final int MIN_LONG_DELAY_MS = 50;
  private static final int MAX_LONG_DELAY_MS = 600;

  /** One in this many responses takes a long time. */
  private static final int ONE_LONG_DELAY_IN = 40;

  /** Longest time between the reading of the lists and the reading of the clock. */
  private static final int MAX_CLOCK_DELAY_MS = 50;

  /** A kind of order. */
  enum OrderKind {
    START("start ordered"),
    STOP("stop ordered");

    private final String label;

    OrderKind(String label) {
      this.label = label;
    }

    String label() {
      return label;
    }
  }

  /** Determines what a task does from its name and run number, and is told of orders. */
  interface TaskBehaviours {
    Behaviour behaviour(String task, long run, long nowMs);

    /** An order has arrived; it may be refused, or carried out later. */
    void onOrder(SimulatedWorker worker, OrderKind kind, String task, long run, long fencingToken);
  }

  private final InetSocketAddress address;
  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private final TaskBehaviours taskBehaviours;
  private final Random random;
  private final HttpServerContext server;
  private final boolean isConcurrent;
  private final List<CompletableFuture<Boolean>> waitingRenewals = new ArrayList<>();
  private Optional<SimulatedWorker> currentWorker = Optional.empty();
  private double lateOrderFraction;
  private boolean areReportsSlow;
  private boolean areReportsSplit;
  private boolean isClosed;

  /** Binds the address. Must not be called on the event loop's thread, unlike all other methods. */
  WorkerStandIn(
      InetSocketAddress address,
      EventLoopThread loop,
      SuspendAwareClock clock,
      TaskBehaviours taskBehaviours,
      long seed)
      throws Exception {
    this(address, loop, clock, taskBehaviours, seed, false);
  }

  private WorkerStandIn(
      InetSocketAddress address,
      EventLoopThread loop,
      SuspendAwareClock clock,
      TaskBehaviours taskBehaviours,
      long seed,
      boolean isConcurrent)
      throws Exception {
    this.isConcurrent = isConcurrent;
    this.address = address;
    this.loop = loop;
    this.clock = clock;
    this.taskBehaviours = taskBehaviours;
    this.random = new Random(seed);
    this.server = EventLoopHttpServers.listen(address, loop, this::handle);
  }

  /**
   * Binds the address and starts a thread on which the worker's time advances. The responses are
   * late by random times, so that one may overtake another on a different connection.
   */
  static WorkerStandIn concurrent(
      InetSocketAddress address, TaskBehaviours taskBehaviours, long seed) throws Exception {
    WorkerStandIn workerStandIn =
        new WorkerStandIn(
            address, new EventLoopThread(), new SuspendAwareClock(), taskBehaviours, seed, true);
    workerStandIn.loop.execute(workerStandIn::tick);
    return workerStandIn;
  }

  private synchronized void tick() {
    if (!isClosed) {
      advance(clock.nowMs());
      loop.schedule(TICK_INTERVAL_MS, this::tick);
    }
  }

  /** Starts a worker on the instance. */
  synchronized void startWorker(SimulatedWorker worker) {
    currentWorker = Optional.of(worker);
  }

  /** Terminates the current worker; its runs are lost. */
  synchronized void terminateWorker(long nowMs) {
    currentWorker.ifPresent(worker -> worker.crash(nowMs));
    currentWorker = Optional.empty();
  }

  /** Returns the address at which the instance's worker listens. */
  InetSocketAddress address() {
    return address;
  }

  /** Returns the worker that runs here now. */
  synchronized Optional<SimulatedWorker> worker() {
    return currentWorker;
  }

  /** Sets the fraction of orders that are carried out seconds later without a response. */
  synchronized void delayOrders(double fraction) {
    this.lateOrderFraction = fraction;
  }

  /**
   * Makes reports state the time at which they are written, which is later than the time of their
   * lists.
   */
  synchronized void setReportsSlow(boolean areSlow) {
    this.areReportsSlow = areSlow;
  }

  /** Makes reports list the tasks that run some time after their ended runs were listed. */
  synchronized void setReportsSplit(boolean areSplit) {
    this.areReportsSplit = areSplit;
  }

  /**
   * Advances the worker's time; completes waiting renewals once a run has ended or the worker was
   * terminated.
   */
  synchronized void advance(long nowMs) {
    currentWorker.ifPresent(worker -> worker.advance(nowMs));
    if (currentWorker.map(SimulatedWorker::hasUnacknowledgedEnds).orElse(true)
        && !waitingRenewals.isEmpty()) {
      List<CompletableFuture<Boolean>> due = List.copyOf(waitingRenewals);
      waitingRenewals.clear();
      due.forEach(renewal -> renewal.complete(true));
    }
  }

  private synchronized Single<HttpResponse> handle(
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
      case "/v1/run-start" -> {
        notifyOfOrder(worker, OrderKind.START, body);
        yield execute(worker, responses, () -> start(worker, body));
      }
      case "/v1/run-stop" -> {
        notifyOfOrder(worker, OrderKind.STOP, body);
        yield execute(worker, responses, () -> stop(worker, body));
      }
      case "/v1/hold" -> renew(worker, body, responses);
      default -> Single.succeeded(responses.notFound());
    };
  }

  private void notifyOfOrder(SimulatedWorker worker, OrderKind kind, JsonNode body) {
    taskBehaviours.onOrder(
        worker,
        kind,
        body.path("task").asText(),
        body.path("run").asLong(),
        body.path("fenceToken").asLong());
  }

  private Single<HttpResponse> respond(HttpResponse response) {
    if (!isConcurrent) {
      return Single.succeeded(response);
    }
    CompletableFuture<HttpResponse> late = new CompletableFuture<>();
    long delayMs =
        random.nextInt(ONE_LONG_DELAY_IN) == 0
            ? MIN_LONG_DELAY_MS + random.nextInt(MAX_LONG_DELAY_MS - MIN_LONG_DELAY_MS)
            : random.nextInt(1 + random.nextInt(MAX_USUAL_DELAY_MS));
    loop.schedule(delayMs, () -> late.complete(response));
    return Single.fromStage(late);
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
          () -> executeLate(worker, receivedByStartedAtMs, operation));
      return Single.never();
    }
    return respond(toResponse(operation.get(), responses));
  }

  private synchronized void executeLate(
      SimulatedWorker worker, long receivedByStartedAtMs, Supplier<OrderReply> operation) {
    boolean isSameProcess =
        currentWorker.filter(current -> current == worker).isPresent()
            && worker.startedAtMs() == receivedByStartedAtMs;
    if (isSameProcess) {
      OrderReply unused = operation.get();
    }
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
      return respond(
          toResponse(new OrderReply(Outcome.FENCED, worker.clockMs(clock.nowMs())), responses));
    }
    if (!report.ended().isEmpty() || renewal.waitMs() == 0) {
      return respond(worker, report, responses);
    }
    CompletableFuture<Boolean> ready = new CompletableFuture<>();
    waitingRenewals.add(ready);
    loop.schedule(renewal.waitMs(), () -> ready.complete(false));
    return Single.fromStage(ready)
        .flatMap(ignored -> respond(worker, worker.report(clock.nowMs()), responses));
  }

  private synchronized Single<HttpResponse> respond(
      SimulatedWorker worker, WorkerReport report, HttpResponseFactory responses) {
    if (!areReportsSlow && !areReportsSplit) {
      return respond(HttpBodies.withJson(responses.ok(), reportBody(report)));
    }
    boolean isSplit = areReportsSplit;
    CompletableFuture<WorkerReport> completed = new CompletableFuture<>();
    loop.schedule(
        1 + random.nextInt(MAX_CLOCK_DELAY_MS),
        () -> complete(worker, report, isSplit).ifPresent(completed::complete));
    return Single.fromStage(completed)
        .flatMap(late -> respond(HttpBodies.withJson(responses.ok(), reportBody(late))));
  }

  /** Adds to a report what the worker reads later; empty if its process has ended meanwhile. */
  private Optional<WorkerReport> complete(
      SimulatedWorker worker, WorkerReport lists, boolean isSplit) {
    WorkerReport later = worker.report(clock.nowMs());
    return later.startedEpochMs() == lists.startedEpochMs()
        ? Optional.of(
            new WorkerReport(
                later.workerClockMs(),
                lists.startedEpochMs(),
                isSplit ? later.running() : lists.running(),
                lists.ended(),
                lists.listsAllEnds()))
        : Optional.empty();
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
  synchronized Optional<byte[]> registryEntry(
      long heartbeatNumber, UnaryOperator<InetSocketAddress> advertisedAddress) {
    InetSocketAddress reachableAddress = advertisedAddress.apply(address);
    return currentWorker.map(
        worker -> {
          Map<String, Object> entry = new LinkedHashMap<>();
          entry.put("service", worker.service());
          entry.put("address", HttpBodies.formatAddress(reachableAddress));
          entry.put("zone", worker.dataCentre());
          entry.put("state", worker.isLeaving() ? "draining" : "ready");
          if (worker.isLeaving()) {
            entry.put("remainingMs", worker.remainingMs(clock.nowMs()));
          }
          entry.put("seq", heartbeatNumber);
          entry.put("born", worker.startedAtMs());
          entry.put(
              "capacity",
              Map.of(
                  "cpu", worker.capacity().cpuMillis(),
                  "memMb", worker.capacity().memoryMb(),
                  "gpus", 0));
          entry.put("labels", List.of("a", worker.rack()));
          return Json.encode(entry);
        });
  }

  /** Stops the server; the address refuses connections from now on. */
  @Override
  public synchronized void close() {
    isClosed = true;
    server.closeAsync().subscribe();
    if (isConcurrent) {
      loop.close();
    }
  }
}
