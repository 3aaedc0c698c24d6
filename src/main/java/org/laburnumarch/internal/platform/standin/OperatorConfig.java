package org.laburnumarch.internal.platform.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.laburnumarch.internal.platform.Json;

/** The configuration that the stand-in's operators write; immutable. */
public record OperatorConfig(
    List<Queue> queues, List<String> pools, String sparePool, List<Team> teams) {

  /** A queue and the pool that serves it. */
  public record Queue(
      String name,
      String pool,
      int priority,
      int maxAttempts,
      double stretch,
      long latencyTargetMs) {

    /** Returns a queue like this one under another name. */
    public Queue named(String otherName) {
      return new Queue(otherName, pool, priority, maxAttempts, stretch, latencyTargetMs);
    }

    /** Returns this queue served by another pool. */
    public Queue inPool(String otherPool) {
      return new Queue(name, otherPool, priority, maxAttempts, stretch, latencyTargetMs);
    }
  }

  /** A team, the keys of its callers, and the limit of its running tasks. */
  public record Team(String name, List<String> keys, double weight, long cpuMillis) {

    /** Creates a team whose callers use its name as their key. */
    public Team(String name, double weight, long cpuMillis) {
      this(name, List.of(name), weight, cpuMillis);
    }
  }

  /** Copies the lists. */
  public OperatorConfig {
    queues = List.copyOf(queues);
    pools = List.copyOf(pools);
    teams = List.copyOf(teams);
  }

  /** Returns the first configuration of a platform. */
  static OperatorConfig of(PlatformLayout layout) {
    return new OperatorConfig(
        layout.routes().stream()
            .map(
                route ->
                    new Queue(
                        route.queue(),
                        route.pool(),
                        route.priority(),
                        InvariantChecker.MAX_ATTEMPTS,
                        1.6,
                        600))
            .toList(),
        layout.routes().stream().map(PlatformLayout.Route::pool).distinct().toList(),
        layout.sparePool(),
        layout.teams());
  }

  /** Returns a queue; empty if it is not routed. */
  public Optional<Queue> queue(String name) {
    return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
  }

  Optional<Team> team(String name) {
    return teams.stream().filter(team -> team.name().equals(name)).findFirst();
  }

  /** Returns this configuration with a queue added or replaced. */
  public OperatorConfig with(Queue queue) {
    return new OperatorConfig(
        replaced(queues, queue, other -> other.name().equals(queue.name())),
        pools,
        sparePool,
        teams);
  }

  /** Returns this configuration with a team added or replaced. */
  public OperatorConfig with(Team team) {
    return new OperatorConfig(
        queues, pools, sparePool, replaced(teams, team, other -> other.name().equals(team.name())));
  }

  /** Returns this configuration without the queues that a name's condition selects. */
  public OperatorConfig withoutQueues(Predicate<String> names) {
    return new OperatorConfig(
        queues.stream().filter(queue -> !names.test(queue.name())).toList(),
        pools,
        sparePool,
        teams);
  }

  private static <T> List<T> replaced(List<T> all, T added, Predicate<T> isReplaced) {
    List<T> changed = new ArrayList<>(all);
    changed.removeIf(isReplaced);
    changed.add(added);
    return changed;
  }

  byte[] encode(long version) {
    List<Map<String, Object>> services = new ArrayList<>();
    pools.forEach(pool -> services.add(service(pool, false)));
    services.add(service(sparePool, true));
    return Json.encode(
        Map.of(
            "version",
            version,
            "routes",
            queues.stream().map(OperatorConfig::encode).toList(),
            "services",
            services,
            "tenants",
            teams.stream().map(OperatorConfig::encode).toList(),
            "limits",
            Map.of()));
  }

  private static Map<String, Object> encode(Queue queue) {
    return Map.of(
        "name",
        queue.name(),
        "host",
        PlatformStandIn.HOST,
        "pathPrefix",
        '/' + queue.name() + '/',
        "service",
        queue.pool(),
        "priority",
        queue.priority(),
        "maxAttempts",
        queue.maxAttempts(),
        "stretch",
        queue.stretch(),
        "targetLatencyMs",
        queue.latencyTargetMs());
  }

  private static Map<String, Object> service(String name, boolean isSpare) {
    return Map.of("name", name, "rejectsOverload", true, "spare", isSpare);
  }

  private static Map<String, Object> encode(Team team) {
    return Map.of(
        "name",
        team.name(),
        "apiKeys",
        team.keys(),
        "weight",
        team.weight(),
        "maxCount",
        Map.of("cpu", team.cpuMillis(), "memMb", 0, "gpus", 0));
  }
}
