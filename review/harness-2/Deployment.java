package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment: daemons as processes, and stand-ins for the platform, on loopback. */
final class Deployment implements AutoCloseable {

  static final String QUEUE_PATH = "/holds/";
  static final String KEY = "k-1";
  static final long STOP_TIMEOUT_MS = 200;
  static final long CANCEL_MS = 3_000;
  private static final long REGISTRY_MS = 1_500;
  private static final Pattern RUN = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);

  /** An answer to a requester; status 0 means that none came. */
  record Answer(int status, String body) {}

  /** One daemon. */
  static final class Daemon {
    final String name;
    final String ip;
    final int front;
    final int ready;
    final int link;
    Path settings;
    Process process;

    Daemon(String name, String ip) throws Exception {
      this.name = name;
      this.ip = ip;
      this.front = freePort(ip);
      this.ready = freePort(ip);
      this.link = freePair(ip);
    }
  }

  final Record record;
  final Store store;
  final Cloud cloud;
  final List<Minion> minions = new java.util.concurrent.CopyOnWriteArrayList<>();
  final List<Daemon> daemons = new ArrayList<>();
  private final Path root;
  private final Path folder;
  private final Thread heartbeats;
  private volatile boolean isClosed;
  private long version;

  Deployment(Record record, Path root) throws Exception {
    this.record = record;
    this.root = root;
    this.folder = Files.createTempDirectory("review");
    this.store = new Store(record);
    this.cloud = new Cloud(this);
    this.heartbeats = new Thread(this::sendHeartbeats);
    heartbeats.setDaemon(true);
  }

  static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static int freePort(String ip) throws Exception {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(ip, 0));
      return socket.getLocalPort();
    }
  }

  /** Returns the first of two free ports. */
  private static int freePair(String ip) throws Exception {
    while (true) {
      int first = freePort(ip);
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(ip, first + 1));
        return first;
      } catch (java.io.IOException | IllegalArgumentException e) {
        continue;
      }
    }
  }

  /** Adds a machine with a minion. */
  Minion addMinion(String service, String zone, String rack) throws Exception {
    Minion minion = new Minion(this, "w-" + (minions.size() + 1), service, zone, rack);
    minions.add(minion);
    cloud.add("m-" + minions.size(), service, zone, rack, minion);
    return minion;
  }

  /** Writes a config with some queues, all of one service. */
  void writeConfig(String service, int maxAttempts, List<String> queues) throws Exception {
    version += 3;
    List<Map<String, Object>> routes = new ArrayList<>();
    for (String queue : queues) {
      Map<String, Object> route = new LinkedHashMap<>();
      route.put("name", queue);
      route.put("host", "127.0.0.1");
      route.put("pathPrefix", "/" + queue + "/");
      route.put("service", service);
      route.put("maxAttempts", maxAttempts);
      route.put("stretch", 1.6);
      route.put("targetLatencyMs", 600);
      routes.add(route);
    }
    Map<String, Object> config =
        Map.of(
            "version", version,
            "routes", routes,
            "services", List.of(Map.of("name", service, "rejectsOverload", true)),
            "tenants", List.of(Map.of("name", "gangs", "apiKeys", List.of(KEY), "weight", 10)),
            "limits", Map.of());
    record.add("operator: config version %d with the routes %s", version, queues);
    store.write("keyed.op", "config", Http.JSON.writeValueAsBytes(config));
  }

  /** Starts minions, their heartbeats and daemons, and waits until all daemons are ready. */
  void start(int count) throws Exception {
    heartbeats.start();
    String[] zones = {"north", "central", "south"};
    for (int i = 0; i < count; i++) {
      Daemon daemon = new Daemon("front-" + zones[i % 3] + "-" + (i / 3 + 1), "127.0.0." + (11 + i));
      daemons.add(daemon);
      writeSettings(daemon, zones[i % 3]);
      start(daemon);
    }
    await(30_000, () -> daemons.stream().allMatch(this::isReady), "all daemons ready");
    record.add("all daemons are ready");
  }

  private void writeSettings(Daemon daemon, String zone) throws Exception {
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("node", daemon.name);
    settings.put("role", "node");
    settings.put("class", "front");
    settings.put("serves", List.of("front"));
    settings.put("ip", daemon.ip);
    settings.put("zone", zone);
    settings.put("region", "kerala");
    settings.put("zones", Map.of("north", "kerala", "central", "kerala", "south", "kerala"));
    settings.put(
        "listen",
        Map.of("front", daemon.ip + ":" + daemon.front, "ready", daemon.ip + ":" + daemon.ready));
    settings.put("internalPorts", List.of(daemon.link, daemon.link + 1));
    settings.put("bootstrap", true);
    settings.put(
        "limits", Map.of("cpuShare", 0.75, "cores", 1, "memoryMb", 430, "linkMbps", 1000.0));
    settings.put("heartbeatMs", REGISTRY_MS);
    Map<String, Object> bounds = new LinkedHashMap<>();
    bounds.put("contactMs", 3000);
    bounds.put("ackMs", 4000);
    bounds.put("graceS", 6);
    bounds.put("maxHoldMs", 6000);
    bounds.put("stopTimeoutMs", STOP_TIMEOUT_MS);
    bounds.put("gangTimeoutMs", 3000);
    bounds.put("cancel_ms", CANCEL_MS);
    bounds.put("status_s", 120);
    bounds.put("noticeMs", 4500);
    bounds.put("remotePenalty", 3);
    bounds.put("restoreMs", 600);
    bounds.put("migrateS", 1.5);
    bounds.put("maintenanceS", 2);
    settings.put("bounds", bounds);
    settings.put("orders", "rpc");
    settings.put(
        "platform",
        Map.of(
            "address", Http.text(store.server), "form", "log", "recordBytes", 262144, "callBytes",
            2097152));
    settings.put("cloud", Map.of("address", Http.text(cloud.server), "ratePerS", 64.0));
    daemon.settings = folder.resolve(daemon.name + ".json");
    Files.write(daemon.settings, Http.JSON.writeValueAsBytes(settings));
  }

  /** Starts a daemon with the command of the deploy file. */
  void start(Daemon daemon) throws Exception {
    Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IllegalStateException("the deploy file has no run line");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    builder.directory(root.toFile());
    builder.environment().put("LABURNUMARCH_SETTINGS", daemon.settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(daemon.name + ".log").toFile()));
    daemon.process = builder.start();
    record.add("%s started", daemon.name);
  }

  private boolean isReady(Daemon daemon) {
    return call("GET", daemon.ip + ":" + daemon.ready, "/v1/ready", null, 1_000).status() == 200;
  }

  /** Waits for a condition; fails if it does not hold in time. */
  void await(long timeoutMs, BooleanSupplier condition, String what) {
    long untilMs = record.nowMs() + timeoutMs;
    while (!condition.getAsBoolean()) {
      if (record.nowMs() > untilMs) {
        throw new IllegalStateException("not in time: " + what);
      }
      pause(20);
    }
  }

  /** Sends a requester's call to a daemon and records it with its answer. */
  Answer request(Daemon daemon, String method, String id, Object body, int deadlineMs)
      throws Exception {
    byte[] bytes = body == null ? null : Http.JSON.writeValueAsBytes(body);
    record.add("requester: %s %s%s to %s", method, QUEUE_PATH, id, daemon.name);
    Answer answer =
        call(method, daemon.ip + ":" + daemon.front, QUEUE_PATH + id, bytes, deadlineMs);
    record.add("requester: %s %s%s answered %d %s", method, QUEUE_PATH, id, answer.status(),
        answer.body());
    return answer;
  }

  private static Answer call(
      String method, String address, String path, byte[] body, int deadlineMs) {
    try {
      HttpURLConnection connection =
          (HttpURLConnection) URI.create("http://" + address + path).toURL().openConnection();
      connection.setRequestMethod(method);
      connection.setConnectTimeout(deadlineMs);
      connection.setReadTimeout(deadlineMs);
      connection.setRequestProperty("Authorization", "Token " + KEY);
      connection.setRequestProperty("X-Deadline-Ms", Integer.toString(deadlineMs));
      connection.setRequestProperty("Content-Type", "application/json");
      connection.setRequestProperty("Host", "127.0.0.1");
      if (body != null) {
        connection.setDoOutput(true);
        connection.getOutputStream().write(body);
      }
      int status = connection.getResponseCode();
      java.io.InputStream in =
          status < 400 ? connection.getInputStream() : connection.getErrorStream();
      String text = in == null ? "" : new String(in.readAllBytes());
      return new Answer(status, text);
    } catch (java.io.IOException e) {
      return new Answer(0, String.valueOf(e.getMessage()));
    }
  }

  /** Returns the state in an answer; empty if there is none. */
  static String state(Answer answer) throws Exception {
    if (answer.status() != 200) {
      return "";
    }
    JsonNode root = Http.json(answer.body().getBytes());
    return root.path("state").asText();
  }

  private void sendHeartbeats() {
    for (long seq = 1; !isClosed; seq++) {
      for (Minion minion : minions) {
        if (minion.isUp()) {
          writeEntry(minion, seq);
        }
      }
      pause(REGISTRY_MS);
    }
  }

  void writeEntry(Minion minion, long seq) {
    try {
      store.write("keyed.servers", minion.id, Http.JSON.writeValueAsBytes(minion.entry(seq)));
    } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Copies the logs of the daemons to the folder that REVIEW_LOGS names, if it is set. */
  private void keepLogs() throws Exception {
    String target = System.getenv("REVIEW_LOGS");
    if (target != null) {
      Files.createDirectories(Path.of(target));
      for (Daemon daemon : daemons) {
        Files.copy(
            folder.resolve(daemon.name + ".log"),
            Path.of(target).resolve(daemon.name + ".log"),
            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      }
    }
  }

  @Override
  public void close() throws Exception {
    isClosed = true;
    for (Daemon daemon : daemons) {
      if (daemon.process != null) {
        daemon.process.destroyForcibly();
        daemon.process.waitFor(10, TimeUnit.SECONDS);
      }
    }
    minions.forEach(Minion::close);
    store.server.stop(0);
    cloud.server.stop(0);
    keepLogs();
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
