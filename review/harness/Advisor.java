import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;

/** The advisory service of PROTOCOL.md, with a fixed set of allowed workers for each job. */
final class Advisor {

  static final int DECISION_MS = 20;
  static final int INTERVAL_MS = 2;
  static final int VALIDITY_MS = 3_000;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Recorder recorder;
  private final Map<String, Set<String>> allowedByJob = new ConcurrentHashMap<>();
  private final Map<String, Set<String>> namedByJob = new ConcurrentHashMap<>();
  private final Map<String, Long> issuedAtMs = new ConcurrentHashMap<>();
  private HttpServer server;

  Advisor(Recorder recorder) {
    this.recorder = recorder;
  }

  void start(int port, ExecutorService threads) throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 64);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  Map<String, Object> times() {
    return Map.of(
        "decisionMs", DECISION_MS, "intervalMs", INTERVAL_MS, "validityMs", VALIDITY_MS);
  }

  /** Sets the workers that may run a job's steps. */
  void allow(String jobId, Set<String> workerIds) {
    allowedByJob.put(jobId, Set.copyOf(workerIds));
    recorder.line("advice: job " + jobId + " may run on " + workerIds);
  }

  /** Returns the workers that were named in calls for a job. */
  Set<String> named(String jobId) {
    return Set.copyOf(namedByJob.getOrDefault(jobId, Set.of()));
  }

  boolean isValid(JsonNode start, String workerId) {
    String step = start.path("task").asText();
    String ticket = ticket(step.substring(0, step.lastIndexOf('.')), workerId);
    Long issued = issuedAtMs.get(ticket);
    return start.path("ticket").asText().equals(ticket)
        && issued != null
        && System.currentTimeMillis() - issued <= VALIDITY_MS;
  }

  private static String ticket(String step, String workerId) {
    return step + "-" + workerId;
  }

  /** One call at a time. */
  private synchronized void handle(HttpExchange exchange) throws IOException {
    JsonNode body = MAPPER.readTree(exchange.getRequestBody().readAllBytes());
    String step = body.path("step").asText();
    String jobId = step.substring(0, 16);
    List<String> workers = new ArrayList<>();
    body.path("workers").forEach(worker -> workers.add(worker.asText()));
    try {
      Thread.sleep(DECISION_MS + (long) INTERVAL_MS * workers.size());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    namedByJob.computeIfAbsent(jobId, id -> new LinkedHashSet<>()).addAll(workers);
    List<List<String>> allowed = new ArrayList<>();
    for (String worker : workers) {
      if (allowedByJob.getOrDefault(jobId, Set.of()).contains(worker)) {
        String ticket = ticket(step, worker);
        issuedAtMs.put(ticket, System.currentTimeMillis());
        allowed.add(List.of(worker, ticket));
      }
    }
    recorder.line(
        "advice: " + step + " asked for " + workers.size() + " workers, " + allowed.size()
            + " allowed");
    byte[] answer = MAPPER.writeValueAsBytes(Map.of("allowed", allowed, "validityMs", VALIDITY_MS));
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(200, answer.length);
    exchange.getResponseBody().write(answer);
    exchange.close();
  }

  void close() {
    server.stop(0);
  }
}
