import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.function.Function;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;
import org.laburnumarch.internal.schedule.EndedTask;
import org.laburnumarch.internal.schedule.Order;
import org.laburnumarch.internal.schedule.OrderReply;
import org.laburnumarch.internal.schedule.OrderReply.Outcome;
import org.laburnumarch.internal.schedule.Renewal;
import org.laburnumarch.internal.schedule.RunningTask;
import org.laburnumarch.internal.schedule.WorkerReport;

/** Serves the worker protocol of PROTOCOL.md for one simulated worker on a loopback address. */
final class TestWorker {

  /** PROTOCOL.md: ends that are not acknowledged are returned 500 at a time. */
  private static final int MAX_LISTED_ENDS = 500;

  private static final long MAX_WAIT_MS = 2_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Decides whether the answer to an executed request is lost. */
  interface AnswerLoss {
    boolean isLost(TestWorker worker, String path, String taskName);
  }

  private final SimulatedWorker worker;
  private final InetSocketAddress address;
  private final Function<String, Behaviour> behaviours;
  private final ExecutorService threads;
  private final Recorder recorder;
  private HttpServer server;
  private AnswerLoss answerLoss = (w, path, task) -> false;
  private long sequence;
  private int requests;
  private int lostAnswers;

  TestWorker(
      String id,
      String service,
      String rack,
      int port,
      Function<String, Behaviour> behaviours,
      Recorder recorder,
      ExecutorService threads)
      throws IOException {
    this.behaviours = behaviours;
    this.recorder = recorder;
    this.address = new InetSocketAddress("127.0.0.1", port);
    this.worker = new SimulatedWorker(id, service, rack, System.currentTimeMillis(), 1, recorder);
    this.threads = threads;
    listen();
  }

  /** Accepts connections; the worker runs on in any case. */
  void listen() throws IOException {
    server = HttpServer.create(address, 128);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  /** Closes all connections and refuses new ones, as behind a cut that refuses. */
  void refuseConnections() {
    server.stop(0);
  }

  String id() {
    return worker.id();
  }

  synchronized void setAnswerLoss(AnswerLoss loss) {
    this.answerLoss = loss;
  }

  /** Returns the number of requests that the worker has executed. */
  int requests() {
    return requests;
  }

  /** Returns how many of their answers were lost. */
  int lostAnswers() {
    return lostAnswers;
  }

  synchronized List<String> runningTasks() {
    worker.advance(System.currentTimeMillis());
    return worker.runningTasks();
  }

  synchronized void advance() {
    worker.advance(System.currentTimeMillis());
    if (worker.hasUnacknowledgedEnds()) {
      notifyAll();
    }
  }

  /** Returns the complete entry in the registry. */
  synchronized Map<String, Object> registryEntry() {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("service", worker.service());
    entry.put("address", "127.0.0.1:" + address.getPort());
    entry.put("zone", "north");
    entry.put("version", "v1");
    entry.put("slots", 8);
    entry.put("state", "ready");
    entry.put("coldLeftMs", 0);
    entry.put("seq", ++sequence);
    entry.put("born", worker.startedAtMs());
    entry.put(
        "capacity",
        Map.of(
            "cpu", SimulatedWorker.CAPACITY.cpuMillis(),
            "memMb", SimulatedWorker.CAPACITY.memoryMb(),
            "gpus", 0));
    entry.put("labels", List.of("a", worker.rack()));
    return entry;
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] content = exchange.getRequestBody().readAllBytes();
    String path = exchange.getRequestURI().getPath();
    if (!worker.id().equals(exchange.getRequestHeaders().getFirst("X-Target-Instance"))) {
      respond(exchange, 421, Map.of());
      return;
    }
    JsonNode body = MAPPER.readTree(content);
    Answer answer;
    synchronized (this) {
      answer =
          switch (path) {
            case "/v1/run-start" -> order(start(body));
            case "/v1/run-stop" -> order(stop(body));
            case "/v1/hold" -> hold(body);
            default -> new Answer(404, Map.of());
          };
      requests++;
      if (answerLoss.isLost(this, path, body.path("task").asText())) {
        lostAnswers++;
        recorder.line("answer lost: " + worker.id() + " " + path + " " + body.path("task").asText());
        return; // The channel returns nothing further.
      }
    }
    respond(exchange, answer.status(), answer.body());
  }

  private record Answer(int status, Map<String, ?> body) {}

  private OrderReply start(JsonNode body) {
    String task = body.path("task").asText();
    return worker.start(
        new Order.Start(
            worker.id(),
            task,
            body.path("run").asLong(),
            body.path("spec").asText(),
            body.path("deadlineMs").asLong(),
            body.path("checkpoint").asText(),
            body.path("ticket").asText()),
        body.path("fenceToken").asLong(),
        behaviours.apply(task),
        System.currentTimeMillis());
  }

  private OrderReply stop(JsonNode body) {
    recorder.line("stop order: " + worker.id() + " " + body.path("task").asText());
    return worker.stop(
        new Order.Stop(worker.id(), body.path("task").asText(), body.path("run").asLong()),
        body.path("fenceToken").asLong(),
        System.currentTimeMillis());
  }

  private static Answer order(OrderReply reply) {
    String reason =
        switch (reply.outcome()) {
          case FENCED -> "fence";
          case OUTDATED -> "old";
          case LATE -> "late";
          case NO_ROOM -> "room";
          default -> "";
        };
    return reason.isEmpty()
        ? new Answer(200, Map.of("clockMs", reply.workerClockMs()))
        : new Answer(409, Map.of("clockMs", reply.workerClockMs(), "reason", reason));
  }

  private Answer hold(JsonNode body) {
    Renewal renewal =
        new Renewal(
            worker.id(),
            body.path("deadlineMs").asLong(-1),
            body.path("ackCursor").asLong(),
            body.path("waitMs").asLong());
    long waitUntilMs =
        System.currentTimeMillis() + Math.min(MAX_WAIT_MS, body.path("waitMs").asLong());
    long token = body.path("fenceToken").asLong();
    WorkerReport report = worker.renew(renewal, token, System.currentTimeMillis());
    if (report == null) {
      return order(new OrderReply(Outcome.FENCED, worker.clockMs(System.currentTimeMillis())));
    }
    try {
      while (!worker.hasUnacknowledgedEnds() && System.currentTimeMillis() < waitUntilMs) {
        wait(Math.max(1, waitUntilMs - System.currentTimeMillis()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    worker.advance(System.currentTimeMillis());
    report = worker.report(System.currentTimeMillis());
    List<List<Object>> running = new ArrayList<>();
    for (RunningTask task : report.running()) {
      running.add(List.of(task.taskName(), task.run(), task.checkpoint(), task.percent(), 0));
    }
    List<List<Object>> finished = new ArrayList<>();
    for (EndedTask end : report.ended()) {
      if (finished.size() < MAX_LISTED_ENDS) {
        finished.add(
            List.of(
                end.number(),
                end.taskName(),
                end.run(),
                end.how().name().toLowerCase(Locale.ROOT),
                end.checkpoint()));
      }
    }
    return new Answer(
        200,
        Map.of(
            "clockMs", report.workerClockMs(),
            "born", report.startedEpochMs(),
            "running", running,
            "finished", finished));
  }

  private static void respond(HttpExchange exchange, int status, Map<String, ?> body)
      throws IOException {
    byte[] bytes = MAPPER.writeValueAsBytes(body);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  void close() {
    server.stop(0);
  }
}
