package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A minion that runs tasks under leases; the spec of a job says how long its tasks take. */
final class Minion {

  private static final long MAX_HOLD_MS = 6_000;
  private static final long STOP_MS = 100;
  private static final int MAX_LISTED = 500;
  private static final int CPU = 16_000;
  private static final int MEM_MB = 65_536;

  /** A run, and when it ends. */
  private static final class Run {
    final String task;
    final long run;
    final long startedAtMs;
    long endsAtMs;
    String how = "done";

    Run(String task, long run, long startedAtMs, long endsAtMs) {
      this.task = task;
      this.run = run;
      this.startedAtMs = startedAtMs;
      this.endsAtMs = endsAtMs;
    }
  }

  /** A start that a minion has carried out. */
  record Start(String task, long run, long atMs, String minion) {}

  private final Deployment deployment;
  private final Record record;
  final String id;
  final String service;
  private final String zone;
  private final String rack;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final List<List<Object>> finished = new ArrayList<>();
  private final Map<String, Long> closedRuns = new HashMap<>();
  private final Thread clockThread;
  private InetSocketAddress address;
  private HttpServer server;
  private long bornMs;
  private long bornAtMs;
  private long fence;
  private long leaseEndMs;
  private long nextEnd = 1;
  private boolean isClosed;
  private Runnable atNextStart;

  /** All starts on all minions of the process, in order. */
  static final List<Start> STARTS = new ArrayList<>();

  /** All ends of runs on all minions: the task's name and how the run ended. */
  private static final List<String> ENDS = new ArrayList<>();

  /** Where each task runs now, by the task's name. */
  private static final Map<String, String> RUNNING = new HashMap<>();

  /** The starts of tasks that were running on another minion at that time. */
  private static final List<String> TWICE = new ArrayList<>();

  /** How long tasks of a job take, in milliseconds, by step. */
  static final Map<String, Long> DURATIONS_MS = new HashMap<>();

  /** Returns how many runs of a job's tasks have started. */
  static long starts(String job) {
    synchronized (STARTS) {
      return STARTS.stream().filter(start -> start.task().startsWith(job)).count();
    }
  }

  /** Returns the starts of tasks that were running on another minion at that time. */
  static List<String> twice() {
    synchronized (STARTS) {
      return List.copyOf(TWICE);
    }
  }

  /** Returns how many runs of a job's tasks have ended `failed`. */
  static long failedEnds(String job) {
    return ends(job, "failed");
  }

  /** Returns how many runs of a job's tasks have ended `done`. */
  static long doneEnds(String job) {
    return ends(job, "done");
  }

  private static long ends(String job, String how) {
    synchronized (ENDS) {
      return ENDS.stream().filter(end -> end.startsWith(job) && end.endsWith(" " + how)).count();
    }
  }

  Minion(Deployment deployment, String id, String service, String zone, String rack) throws IOException {
    this(deployment, id, service, zone, rack, new InetSocketAddress("127.0.0.1", 0));
  }

  private Minion(
      Deployment deployment, String id, String service, String zone, String rack, InetSocketAddress at)
      throws IOException {
    this.deployment = deployment;
    this.record = deployment.record;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.rack = rack;
    this.server = Http.listen(at, this::handle);
    this.address = server.getAddress();
    begin();
    this.clockThread = new Thread(this::advance);
    clockThread.setDaemon(true);
    clockThread.start();
  }

  private void begin() {
    bornMs = System.currentTimeMillis();
    bornAtMs = record.nowMs();
    running.clear();
    finished.clear();
    closedRuns.clear();
    fence = 0;
    leaseEndMs = 0;
    nextEnd = 1;
  }

  synchronized boolean isUp() {
    return server != null && !isClosed;
  }

  private long clockMs() {
    return record.nowMs() - bornAtMs;
  }

  /** Returns the tasks that run now. */
  synchronized List<String> tasks() {
    return new ArrayList<>(running.keySet());
  }

  /** Ends the process without an announcement; its address refuses connections from now on. */
  synchronized void crash() {
    record.add("%s crashes; lost with it: %s", id, running.keySet());
    server.stop(0);
    server = null;
    running.values().forEach(this::forget);
    running.clear();
    notifyAll();
  }

  /** Starts the process again at its address, under its id. */
  synchronized void restart() throws IOException {
    begin();
    server = Http.listen(address, this::handle);
    record.add("%s is up again", id);
    deployment.writeEntry(this, 0);
  }

  /** Starts another process, under another id, at the address of this one, which has crashed. */
  synchronized Minion replace() throws IOException {
    isClosed = true;
    Minion next = new Minion(deployment, id + "n", service, zone, rack, address);
    record.add("%s is up at the address of %s", next.id, id);
    deployment.writeEntry(next, 0);
    return next;
  }

  /** Makes the process crash when the next start reaches it, before it is carried out. */
  synchronized void crashAtNextStart(Runnable whenCrashed) {
    atNextStart = whenCrashed;
  }

  /** Ends the process for good. */
  synchronized void close() {
    isClosed = true;
    if (server != null) {
      server.stop(0);
      server = null;
    }
    running.values().forEach(this::forget);
    running.clear();
    notifyAll();
  }

  /** Returns the entry in the registry. */
  synchronized Map<String, Object> entry(long seq) {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("service", service);
    entry.put("address", address.getAddress().getHostAddress() + ":" + address.getPort());
    entry.put("zone", zone);
    entry.put("version", "1");
    entry.put("slots", 8);
    entry.put("state", "ready");
    entry.put("seq", seq);
    entry.put("born", bornMs);
    entry.put("capacity", Map.of("cpu", CPU, "memMb", MEM_MB));
    entry.put("labels", List.of("a", rack));
    return entry;
  }

  private void advance() {
    while (true) {
      synchronized (this) {
        if (isClosed) {
          return;
        }
        long nowMs = record.nowMs();
        boolean hasLapsed = clockMs() >= leaseEndMs;
        for (Run run : new ArrayList<>(running.values())) {
          if (hasLapsed) {
            end(run, "lapsed");
          } else if (nowMs >= run.endsAtMs) {
            end(run, run.how);
          }
        }
      }
      Deployment.pause(10);
    }
  }

  private void forget(Run run) {
    synchronized (STARTS) {
      RUNNING.remove(run.task, id);
    }
  }

  private void end(Run run, String how) {
    running.remove(run.task);
    forget(run);
    closedRuns.merge(run.task, run.run, Math::max);
    finished.add(List.of(nextEnd++, run.task, run.run, how, ""));
    synchronized (ENDS) {
      ENDS.add(run.task + " " + how);
    }
    record.add("%s: %s run %d ended %s", id, run.task, run.run, how);
    notifyAll();
  }

  private void handle(HttpExchange exchange) throws IOException {
    JsonNode body = Http.json(Http.body(exchange));
    if (!id.equals(exchange.getRequestHeaders().getFirst("X-Target-Instance"))) {
      Http.send(exchange, 421, Map.of());
      return;
    }
    String path = exchange.getRequestURI().getPath();
    if (path.equals("/v1/run-start") && crashesNow(body)) {
      return;
    }
    switch (path) {
      case "/v1/run-start" -> answer(exchange, start(body));
      case "/v1/run-stop" -> answer(exchange, stop(body));
      case "/v1/hold" -> hold(exchange, body);
      default -> Http.send(exchange, 404, Map.of());
    }
  }

  /** Crashes if that is due at this start, and returns whether it has. */
  private boolean crashesNow(JsonNode body) {
    Runnable whenCrashed;
    synchronized (this) {
      whenCrashed = atNextStart;
      atNextStart = null;
      if (whenCrashed == null || server == null) {
        return false;
      }
      record.add(
          "%s crashes as the start of %s run %d reaches it; it has not begun",
          id, body.path("task").asText(), body.path("run").asLong());
      crash();
    }
    whenCrashed.run();
    return true;
  }

  private void answer(HttpExchange exchange, String reason) throws IOException {
    Map<String, Object> body = new LinkedHashMap<>();
    synchronized (this) {
      body.put("clockMs", clockMs());
    }
    if (!reason.isEmpty()) {
      body.put("reason", reason);
    }
    Http.send(exchange, reason.isEmpty() ? 200 : 409, body);
  }

  private boolean isFenced(JsonNode body) {
    long token = body.path("fenceToken").asLong(0);
    if (token < fence) {
      return true;
    }
    fence = token;
    return false;
  }

  private void extend(JsonNode body) {
    if (body.has("deadlineMs")) {
      long wanted = Math.min(body.path("deadlineMs").asLong(), clockMs() + MAX_HOLD_MS);
      leaseEndMs = Math.max(leaseEndMs, wanted);
    }
  }

  private synchronized String start(JsonNode body) {
    String task = body.path("task").asText();
    long run = body.path("run").asLong();
    if (isFenced(body)) {
      return "fence";
    }
    if (body.path("deadlineMs").asLong() <= clockMs()) {
      return "late";
    }
    extend(body);
    Run known = running.get(task);
    if (known != null && known.run == run) {
      return "";
    }
    if (closedRuns.getOrDefault(task, 0L) >= run) {
      return "old";
    }
    if ((running.size() + 1) * 1_000 > CPU) {
      return "room";
    }
    String[] parts = task.split("\\.");
    long durationMs = DURATIONS_MS.getOrDefault(parts[2], 1_000L);
    long nowMs = record.nowMs();
    running.put(task, new Run(task, run, nowMs, nowMs + durationMs));
    record.add("%s: %s run %d started", id, task, run);
    synchronized (STARTS) {
      STARTS.add(new Start(task, run, nowMs, id));
      String other = RUNNING.put(task, id);
      if (other != null) {
        TWICE.add(task + " run " + run + " started on " + id + " while it runs on " + other);
      }
    }
    return "";
  }

  private synchronized String stop(JsonNode body) {
    if (isFenced(body)) {
      return "fence";
    }
    String task = body.path("task").asText();
    long run = body.path("run").asLong();
    record.add("%s: %s run %d is told to stop", id, task, run);
    Run known = running.get(task);
    if (known != null && known.run == run) {
      known.how = "stopped";
      known.endsAtMs = Math.min(known.endsAtMs, record.nowMs() + STOP_MS);
    } else {
      closedRuns.merge(task, run, Math::max);
    }
    return "";
  }

  private void hold(HttpExchange exchange, JsonNode body) throws IOException {
    Map<String, Object> report = new LinkedHashMap<>();
    synchronized (this) {
      if (isFenced(body)) {
        Http.send(exchange, 409, Map.of("clockMs", clockMs(), "reason", "fence"));
        return;
      }
      extend(body);
      long ack = body.path("ackCursor").asLong(0);
      finished.removeIf(row -> (long) row.get(0) <= ack);
      long bornThen = bornAtMs;
      long untilMs = record.nowMs() + Math.min(2_000, body.path("waitMs").asLong(0));
      while (finished.isEmpty() && record.nowMs() < untilMs && isUp()) {
        try {
          wait(Math.max(1, untilMs - record.nowMs()));
        } catch (InterruptedException e) {
          return;
        }
      }
      if (!isUp() || bornThen != bornAtMs) {
        exchange.close();
        return;
      }
      report.put("clockMs", clockMs());
      report.put("born", bornMs);
      List<List<Object>> rows = new ArrayList<>();
      for (Run run : running.values()) {
        long doneMs = record.nowMs() - run.startedAtMs;
        long allMs = Math.max(1, run.endsAtMs - run.startedAtMs);
        rows.add(List.of(run.task, run.run, "", Math.min(99, 100 * doneMs / allMs), 1_000));
      }
      report.put("running", rows);
      report.put(
          "finished", new ArrayList<>(finished.subList(0, Math.min(MAX_LISTED, finished.size()))));
    }
    Http.send(exchange, 200, report);
  }
}
