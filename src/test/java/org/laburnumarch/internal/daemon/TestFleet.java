package org.laburnumarch.internal.daemon;

import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.awaitility.core.ThrowingRunnable;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.emulator.InstancesStandIn;
import org.laburnumarch.internal.emulator.LogStandIn;
import org.laburnumarch.internal.emulator.TestMinions;
import org.laburnumarch.internal.operator.KeySecrets;
import org.laburnumarch.internal.settings.DaemonSettings;
import org.laburnumarch.internal.settings.FleetSecret;
import org.laburnumarch.internal.settings.HostPort;
import org.laburnumarch.internal.settings.LogFormat;
import org.laburnumarch.internal.settings.QueueLimits;

/** Stand-ins of the platform and real daemons in one process, with a relay on each connection. */
final class TestFleet implements AutoCloseable {
  static final String TEAM = "gangs";
  static final int UPPER_LIMIT = 12;
  static final int MINIONS_PER_DATA_CENTRE = 2;
  static final List<String> DATA_CENTRES = List.of("north", "central", "south");
  private static final String TOKEN = "test-operator-token";
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(12);

  /** A response of a daemon; status 0 and result 0 if there was none. */
  record Response(int status, int result, String body) {
    boolean is(ResultCode code) {
      return result == code.number();
    }

    JsonNode json() {
      try {
        return new ObjectMapper().readTree(body);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  /** One daemon and the relays in front of its log and its peer port. */
  static final class Node {
    final String instance;
    final Relay log;
    final Relay peers;
    final DaemonSettings settings;
    Daemon daemon;

    Node(String instance, Relay log, Relay peers, DaemonSettings settings) {
      this.instance = instance;
      this.log = log;
      this.peers = peers;
      this.settings = settings;
    }

    String address() {
      return "127.0.0.1:" + daemon.callerPort();
    }
  }

  final LogStandIn log;
  final InstancesStandIn instances;
  final TestMinions minions;
  final Map<String, Node> nodes = new LinkedHashMap<>();
  private final List<String> names = new CopyOnWriteArrayList<>();
  private final HttpClient http = HttpClient.newHttpClient();
  private final AtomicLong requestIds = new AtomicLong();

  TestFleet(double meanMs) throws Exception {
    InetSocketAddress free = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    log = LogStandIn.start(free, 100_000, 3_600_000, System::currentTimeMillis);
    instances = InstancesStandIn.start(free, 0, 100);
    minions = new TestMinions(DATA_CENTRES.size() * MINIONS_PER_DATA_CENTRE, meanMs);
    ArrayNode added = JsonNodeFactory.instance.arrayNode();
    for (int i = 0; i < minions.addresses().size(); i++) {
      String dataCentre = DATA_CENTRES.get(i / MINIONS_PER_DATA_CENTRE);
      added.add(listedInstance("minion-" + i, "MINION", dataCentre, minions.addresses().get(i)));
    }
    control(instances.address(), JsonNodeFactory.instance.objectNode().set("add", added));
  }

  private static ObjectNode listedInstance(
      String id, String kind, String dataCentre, String address) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("id", id)
        .put("kind", kind)
        .put("dataCentre", dataCentre)
        .put("rack", dataCentre + "-r1")
        .put("address", address)
        .put("pool", kind.equals("MINION") ? "bookings" : "");
  }

  /**
   * Starts daemons that know each other as seeds, applies a configuration and waits until all of
   * them serve.
   */
  TestFleet startServing(String... instanceNames) throws Exception {
    for (String name : instanceNames) {
      prepare(name);
    }
    for (Node node : List.copyOf(nodes.values())) {
      node.daemon = Daemon.start(node.settings);
    }
    Node first = nodes.get(instanceNames[0]);
    UUID operation = UUID.randomUUID();
    within(
        10,
        () -> check(applyConfig(first, configText(UPPER_LIMIT), 0, operation).is(ResultCode.OK)));
    String key = grant(first).path("token").asText();
    for (Node node : nodes.values()) {
      within(10, () -> check(sendRequest(node, key).status() == 200));
    }
    within(10, () -> check(countingMembers(first) == instanceNames.length));
    return this;
  }

  /** Adds a daemon to a running fleet without waiting for it. */
  Node join(String instance) throws Exception {
    Node node = prepare(instance);
    node.daemon = Daemon.start(node.settings);
    return node;
  }

  private Node prepare(String instance) throws Exception {
    names.add(instance);
    int peerPort = freePort();
    Relay peers =
        new Relay(new InetSocketAddress(InetAddress.getLoopbackAddress(), peerPort), names);
    Relay toLog = new Relay(log.address(), List.of());
    String dataCentre = DATA_CENTRES.get(nodes.size() % DATA_CENTRES.size());
    List<HostPort> seeds = nodes.values().stream().map(n -> local(n.peers.port())).toList();
    DaemonSettings settings =
        new DaemonSettings(
            instance,
            dataCentre,
            local(0),
            local(peerPort),
            local(peers.port()),
            seeds,
            local(toLog.port()),
            local(instances.address().getPort()),
            new FleetSecret(
                "a secret of the test fleet".getBytes(java.nio.charset.StandardCharsets.UTF_8)),
            Map.of("anna", KeySecrets.digestOf(TOKEN)),
            new QueueLimits(200, 1_000, 1 << 24),
            10_000,
            LogFormat.PLAIN);
    Node node = new Node(instance, toLog, peers, settings);
    nodes.put(instance, node);
    ArrayNode added = JsonNodeFactory.instance.arrayNode();
    added.add(listedInstance(instance, "ENTRY", dataCentre, "127.0.0.1:" + peerPort));
    control(instances.address(), JsonNodeFactory.instance.objectNode().set("add", added));
    return node;
  }

  /** Stops a daemon without a graceful leave, as if its process was killed. */
  void kill(Node node) {
    node.daemon.close();
    nodes.remove(node.instance);
    node.log.close();
    node.peers.close();
  }

  private static HostPort local(int port) {
    return new HostPort("127.0.0.1", port);
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** Sets the mode of the paths between a daemon and all others, in both directions. */
  void setPeers(Node node, Relay.Mode mode) {
    for (Node other : nodes.values()) {
      if (other != node) {
        other.peers.set(node.instance, mode);
        node.peers.set(other.instance, mode);
      }
    }
  }

  void heal() {
    nodes.values().forEach(node -> node.log.heal());
    nodes.values().forEach(node -> node.peers.heal());
    controlLog("{\"outage\":\"none\",\"slowMs\":0,\"loseAnswers\":0}");
  }

  void controlLog(String json) {
    send("POST", local(log.address().getPort()) + "/control", "", json);
  }

  private void control(InetSocketAddress address, JsonNode order) {
    send("POST", local(address.getPort()) + "/control", "", order.toString());
  }

  static String configText(int upperLimit) {
    StringBuilder text =
        new StringBuilder(
            "[fleet]\nname = test\nweighting = share-closeness\nspare-pool = spare\nmax-seats = 8\n");
    for (String name : DATA_CENTRES) {
      text.append("[data-centre ").append(name).append("]\nregion = r\n");
      text.append("[rack ").append(name).append("-r1]\ndata-centre = ").append(name).append('\n');
    }
    for (String pool : List.of("bookings", "spare")) {
      text.append("[pool ").append(pool).append("]\nslots-per-minion = 8\n");
      text.append("connections-per-minion = 64\n");
    }
    text.append("[queue bookings]\nopen-to-all = no\nmax-queued-per-team = 200\n");
    text.append("[service bookings]\npool = bookings\nqueue = bookings\n");
    text.append("min-available = 1\nneeded = 1\n");
    text.append("[team ").append(TEAM).append("]\nshare = 50%\nupper-limit = ");
    text.append(upperLimit).append("\nurgent = no\n");
    return text.append("[maintenance]\nenabled = no\ninterval-days = 21\n").toString();
  }

  Response applyConfig(Node node, String text, long base, UUID operation) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("text", text).put("baseVersion", base).put("operationId", operation.toString());
    return sendOperatorRequest(node, "POST", "config", body);
  }

  JsonNode grant(Node node) {
    ObjectNode body = JsonNodeFactory.instance.objectNode().put("team", TEAM);
    return sendOperatorRequest(node, "POST", "keys", body).json();
  }

  Response revoke(Node node, String keyId) {
    return sendOperatorRequest(
        node, "POST", "keys/" + keyId + "/revoke", JsonNodeFactory.instance.objectNode());
  }

  Response sendOperatorRequest(Node node, String method, String path, JsonNode body) {
    String target = node.address() + "/-/operator/" + path;
    return send(method, target, TOKEN, body == null ? "" : body.toString());
  }

  long version(Node node) {
    return status(node).path("version").asLong(-1);
  }

  JsonNode status(Node node) {
    Response response = sendOperatorRequest(node, "GET", "status", null);
    return response.status() == 200 ? response.json() : JsonNodeFactory.instance.objectNode();
  }

  long countingMembers(Node node) {
    List<JsonNode> counting = new ArrayList<>();
    status(node)
        .path("members")
        .forEach(
            member -> {
              if (member.path("counting").asBoolean()) {
                counting.add(member);
              }
            });
    return counting.size();
  }

  String newRequestId() {
    return TEAM + "~" + requestIds.incrementAndGet();
  }

  /** Sends one request with a new id. */
  Response sendRequest(Node node, String key) {
    return sendRequest(node, key, newRequestId());
  }

  Response sendRequest(Node node, String key, String id) {
    return send("POST", node.address() + "/bookings/work/" + id, key, id);
  }

  Response send(String method, String target, String token, String body) {
    return sendAsync(method, target, token, body).join();
  }

  CompletableFuture<Response> sendAsync(String method, String target, String token, String body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + target)).timeout(CALL_TIMEOUT);
    if (!token.isEmpty()) {
      request.header("Authorization", "Bearer " + token);
    }
    request.method(method, HttpRequest.BodyPublishers.ofString(body));
    return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
        .thenApply(
            response ->
                new Response(
                    response.statusCode(),
                    (int) response.headers().firstValueAsLong("Laburnumarch-Result").orElse(0),
                    response.body()))
        .exceptionally(failure -> new Response(0, 0, String.valueOf(failure)));
  }

  static void within(int seconds, ThrowingRunnable assertion) {
    await()
        .atMost(Duration.ofSeconds(seconds))
        .pollInterval(Duration.ofMillis(20))
        .untilAsserted(assertion);
  }

  static void check(boolean condition) {
    org.assertj.core.api.Assertions.assertThat(condition).isTrue();
  }

  @Override
  public void close() {
    for (Node node : nodes.values()) {
      if (node.daemon != null) {
        node.daemon.close();
      }
      node.log.close();
      node.peers.close();
    }
    minions.close();
    instances.close();
    log.close();
  }
}
