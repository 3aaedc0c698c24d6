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
import org.laburnumarch.internal.http.HttpLoop;
import org.laburnumarch.internal.http.LoopServers;
import org.laburnumarch.internal.platform.Json;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;
import org.laburnumarch.internal.schedule.EndedTask;
import org.laburnumarch.internal.schedule.Order;
import org.laburnumarch.internal.schedule.OrderReply;
import org.laburnumarch.internal.schedule.OrderReply.Outcome;
import org.laburnumarch.internal.schedule.Renewal;
import org.laburnumarch.internal.schedule.RunningTask;
import org.laburnumarch.internal.schedule.WorkerReport;
import org.laburnumarch.internal.time.LocalClock;

/** The port of one instance, behind which workers live one after the other. */
final class WorkerStandIn implements AutoCloseable {

  /** Longest time after which an order is obeyed late. */
  private static final long LATEST_MS = 4_000;

  private static final String TARGET_HEADER = "X-Target-Instance";
  private static final HttpResponseStatus MISDIRECTED =
      HttpResponseStatus.of(421, "Misdirected Request");

  /** Knows what a task does, from its name and run. */
  interface Tasks {
    Behaviour behaviour(String task, long run, long nowMs);
  }

  private final InetSocketAddress address;
  private final HttpLoop loop;
  private final LocalClock clock;
  private final Tasks tasks;
  private final Random random;
  private final HttpServerContext server;
  private final List<CompletableFuture<Boolean>> waiting = new ArrayList<>();
  private Optional<SimulatedWorker> life = Optional.empty();
  private double lateShare;

  /** Starts to listen. Not to be called on the loop's thread; all other methods are. */
  WorkerStandIn(InetSocketAddress address, HttpLoop loop, LocalClock clock, Tasks tasks, long seed)
      throws Exception {
    this.address = address;
    this.loop = loop;
    this.clock = clock;
    this.tasks = tasks;
    this.random = new Random(seed);
    this.server = LoopServers.listen(address, loop, this::handle);
  }

  /** Begins the life of a worker. */
  void begin(SimulatedWorker worker) {
    life = Optional.of(worker);
  }

  /** Ends the life of the worker with all that runs there. */
  void end(long nowMs) {
    life.ifPresent(worker -> worker.crash(nowMs));
    life = Optional.empty();
  }

  /** Returns the worker that lives here now. */
  Optional<SimulatedWorker> worker() {
    return life;
  }

  /** Lets a share of the orders go unanswered and be obeyed seconds later. */
  void obeyLate(double share) {
    this.lateShare = share;
  }

  /** Lets time pass; wakes callers that wait for an end. */
  void advance(long nowMs) {
    life.ifPresent(worker -> worker.advance(nowMs));
    if (life.map(SimulatedWorker::hasEnds).orElse(true) && !waiting.isEmpty()) {
      List<CompletableFuture<Boolean>> due = List.copyOf(waiting);
      waiting.clear();
      due.forEach(report -> report.complete(true));
    }
  }

  private Single<HttpResponse> handle(
      HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
    String target = String.valueOf(request.headers().get(TARGET_HEADER));
    Optional<SimulatedWorker> meant = life.filter(worker -> worker.id().equals(target));
    if (meant.isEmpty()) {
      return Single.succeeded(responses.newResponse(MISDIRECTED));
    }
    SimulatedWorker worker = meant.get();
    JsonNode body = Replies.body(request);
    return switch (request.path()) {
      case "/v1/run-start" -> order(responses, () -> start(worker, body));
      case "/v1/run-stop" -> order(responses, () -> stop(worker, body));
      case "/v1/hold" -> report(worker, body, responses);
      default -> Single.succeeded(responses.notFound());
    };
  }

  private Single<HttpResponse> order(HttpResponseFactory responses, Supplier<OrderReply> obey) {
    if (random.nextDouble() < lateShare) {
      loop.after(
          1 + random.nextLong(LATEST_MS),
          () -> {
            OrderReply unused = obey.get();
          });
      return Single.never();
    }
    return Single.succeeded(answer(obey.get(), responses));
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
        order, body.path("fenceToken").asLong(), tasks.behaviour(task, run, nowMs), nowMs);
  }

  private OrderReply stop(SimulatedWorker worker, JsonNode body) {
    Order.Stop order =
        new Order.Stop(worker.id(), body.path("task").asText(), body.path("run").asLong());
    return worker.stop(order, body.path("fenceToken").asLong(), clock.nowMs());
  }

  private static HttpResponse answer(OrderReply reply, HttpResponseFactory responses) {
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
      return Replies.json(responses.ok(), body);
    }
    body.put("reason", reason);
    return Replies.json(responses.conflict(), body);
  }

  private Single<HttpResponse> report(
      SimulatedWorker worker, JsonNode body, HttpResponseFactory responses) {
    Renewal renewal =
        new Renewal(
            worker.id(),
            body.path("deadlineMs").asLong(-1),
            body.path("ackCursor").asLong(),
            body.path("waitMs").asLong());
    long token = body.path("fenceToken").asLong();
    WorkerReport now = worker.renew(renewal, token, clock.nowMs());
    if (now == null) {
      return Single.succeeded(
          answer(new OrderReply(Outcome.FENCED, worker.clockMs(clock.nowMs())), responses));
    }
    if (!now.ended().isEmpty() || renewal.waitMs() == 0) {
      return Single.succeeded(Replies.json(responses.ok(), lists(now)));
    }
    CompletableFuture<Boolean> ready = new CompletableFuture<>();
    waiting.add(ready);
    loop.after(renewal.waitMs(), () -> ready.complete(false));
    return Single.fromStage(
        ready.thenApply(
            ignored -> Replies.json(responses.ok(), lists(worker.report(clock.nowMs())))));
  }

  private static Map<String, Object> lists(WorkerReport report) {
    List<List<Object>> running = new ArrayList<>();
    for (RunningTask task : report.running()) {
      running.add(
          List.of(task.taskName(), task.run(), task.checkpoint(), task.percent(), task.load()));
    }
    List<List<Object>> ended = new ArrayList<>();
    for (EndedTask end : report.ended()) {
      ended.add(
          List.of(
              end.number(),
              end.taskName(),
              end.run(),
              end.how().name().toLowerCase(Locale.ROOT),
              end.checkpoint()));
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

  /** Returns the entry that the worker keeps in the registry. */
  Optional<byte[]> entry(long beat, UnaryOperator<InetSocketAddress> exposure) {
    InetSocketAddress reachableAt = exposure.apply(address);
    return life.map(
        worker ->
            Json.bytes(
                Map.of(
                    "service",
                    worker.service(),
                    "address",
                    Replies.text(reachableAt),
                    "zone",
                    "north",
                    "state",
                    "ready",
                    "seq",
                    beat,
                    "born",
                    worker.bornAtMs(),
                    "capacity",
                    Map.of(
                        "cpu", SimulatedWorker.CAPACITY.cpuMillis(),
                        "memMb", SimulatedWorker.CAPACITY.memoryMb(),
                        "gpus", 0),
                    "labels",
                    List.of("a", worker.rack()))));
  }

  /** Stops answering; what ran is lost. */
  @Override
  public void close() {
    server.closeAsync().subscribe();
  }
}
