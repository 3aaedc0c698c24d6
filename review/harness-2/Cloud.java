package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The service that lists machines and takes them into upkeep. */
final class Cloud {

  private static final long UPKEEP_MS = 2_000;

  private static final class Machine {
    final String name;
    final String pool;
    final String zone;
    final String rack;
    Minion minion;
    String state = "up";
    long fence;

    Machine(String name, String pool, String zone, String rack, Minion minion) {
      this.name = name;
      this.pool = pool;
      this.zone = zone;
      this.rack = rack;
      this.minion = minion;
    }
  }

  private final Deployment deployment;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Map<Long, Set<String>> waves = new TreeMap<>();

  /** The machines of each wave whose upkeep for that wave has begun. */
  final Map<Long, Set<String>> begun = new TreeMap<>();

  final HttpServer server;

  Cloud(Deployment deployment) throws IOException {
    this.deployment = deployment;
    this.server = Http.listen("127.0.0.1", this::handle);
  }

  synchronized void add(String name, String pool, String zone, String rack, Minion minion) {
    machines.put(name, new Machine(name, pool, zone, rack, minion));
  }

  /** Requests a wave as the operator does. */
  void orderWave(long wave, Set<String> names, int completeByS, int maxCount) throws Exception {
    synchronized (this) {
      waves.put(wave, names);
      begun.put(wave, new TreeSet<>());
    }
    deployment.record.add("operator: wave %d, machines %s, %d at once", wave, names, maxCount);
    deployment.store.write(
        "keyed.op",
        "wave/" + wave,
        Http.JSON.writeValueAsBytes(
            Map.of(
                "wave", wave, "machines", names, "completeByS", completeByS, "maxCount", maxCount)));
  }

  /** Records that another minion runs on a machine. */
  synchronized void replace(Minion earlier, Minion next) {
    machines.values().stream()
        .filter(machine -> machine.minion == earlier)
        .forEach(machine -> machine.minion = next);
  }

  synchronized Set<String> begun(long wave) {
    return new TreeSet<>(begun.get(wave));
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] bytes = Http.body(exchange);
    switch (exchange.getRequestURI().getPath()) {
      case "/v1/machines" -> Http.send(exchange, 200, list());
      case "/v1/machine-upkeep" -> {
        JsonNode body = Http.json(bytes);
        long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fencing-Token"));
        String reason =
            upkeep(body.path("machine").asText(), body.path("wave").asLong(), token);
        if (reason.equals("unknown")) {
          Http.send(exchange, 400, Map.of());
        } else if (reason.isEmpty()) {
          Http.send(exchange, 200, Map.of());
        } else {
          Http.send(exchange, 409, Map.of("reason", reason));
        }
      }
      default -> Http.send(exchange, 400, Map.of());
    }
  }

  private synchronized Map<String, Object> list() {
    List<Map<String, Object>> rows = new ArrayList<>();
    for (Machine machine : machines.values()) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("machine", machine.name);
      row.put("pool", machine.pool);
      boolean isDown = machine.minion != null && !machine.minion.isUp();
      row.put("state", isDown ? "down" : machine.state);
      row.put("zone", machine.zone);
      row.put("labels", List.of("a", machine.rack));
      row.put("capacity", Map.of("cpu", 16_000, "memMb", 65_536));
      row.put("id", machine.minion == null || isDown ? "" : machine.minion.id);
      rows.add(row);
    }
    return Map.of("machines", rows, "nextToken", "");
  }

  private String upkeep(String name, long wave, long token) {
    Minion ended;
    Machine machine;
    synchronized (this) {
      machine = machines.get(name);
      if (machine == null) {
        return "unknown";
      }
      if (token < machine.fence) {
        return "fence";
      }
      machine.fence = token;
      if (!waves.getOrDefault(wave, Set.of()).contains(name)) {
        return "wave";
      }
      if (begun.get(wave).contains(name)) {
        return "";
      }
      if (!machine.state.equals("up")) {
        return "busy";
      }
      begun.get(wave).add(name);
      machine.state = "upkeep";
      ended = machine.minion;
      machine.minion = null;
    }
    deployment.record.add("cloud: upkeep of %s for wave %d begins", name, wave);
    ended.close();
    deployment.store.write("keyed.servers", ended.id, null);
    Machine kept = machine;
    Thread end =
        new Thread(
            () -> {
              Deployment.pause(UPKEEP_MS);
              try {
                Minion next =
                    new Minion(
                        deployment,
                        ended.id + "x",
                        kept.pool,
                        kept.zone,
                        kept.rack);
                synchronized (deployment.minions) {
                  deployment.minions.add(next);
                }
                synchronized (this) {
                  kept.minion = next;
                  kept.state = "up";
                }
                deployment.writeEntry(next, 0);
                deployment.record.add("cloud: %s is up again as %s", name, next.id);
              } catch (IOException e) {
                deployment.record.add("cloud: %s has no new minion: %s", name, e.getMessage());
              }
            });
    end.setDaemon(true);
    end.start();
    return "";
  }
}
