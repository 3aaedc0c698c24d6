package org.laburnumarch.internal.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the operators' configuration; immutable. */
public final class FleetConfig {

  /** The configuration before any has been read. */
  public static final FleetConfig EMPTY =
      new FleetConfig(0, List.of(), List.of(), List.of(), CallerLimits.DEFAULT);

  /**
   * Bounds on callers' requests.
   *
   * @param bodyBytes the longest body
   * @param idleTimeoutMs how long a connection may stay unused
   */
  public record CallerLimits(int bodyBytes, long idleTimeoutMs) {
    /** Used until a configuration names others. */
    public static final CallerLimits DEFAULT = new CallerLimits(262_144, 15_000);
  }

  private final long version;
  private final Map<String, QueueConfig> queues;
  private final Map<String, List<QueueConfig>> queuesByHost;
  private final Map<String, ServiceConfig> services;
  private final Map<String, TeamConfig> teams;
  private final Map<String, String> teamsByKey;
  private final CallerLimits callerLimits;

  /** Builds the look-up tables of one version. */
  public FleetConfig(
      long version,
      List<QueueConfig> queues,
      List<ServiceConfig> services,
      List<TeamConfig> teams,
      CallerLimits callerLimits) {
    this.version = version;
    this.callerLimits = callerLimits;
    Map<String, QueueConfig> byName = new HashMap<>();
    Map<String, List<QueueConfig>> byHost = new HashMap<>();
    for (QueueConfig queue : queues) {
      byName.put(queue.name(), queue);
      byHost.computeIfAbsent(queue.host(), host -> new ArrayList<>()).add(queue);
    }
    byHost.replaceAll((host, list) -> List.copyOf(list));
    this.queues = Map.copyOf(byName);
    this.queuesByHost = Map.copyOf(byHost);
    Map<String, ServiceConfig> serviceTable = new HashMap<>();
    services.forEach(service -> serviceTable.put(service.name(), service));
    this.services = Map.copyOf(serviceTable);
    Map<String, TeamConfig> teamTable = new HashMap<>();
    Map<String, String> keyTable = new HashMap<>();
    for (TeamConfig team : teams) {
      teamTable.put(team.name(), team);
      team.keys().forEach(key -> keyTable.put(key, team.name()));
    }
    this.teams = Map.copyOf(teamTable);
    this.teamsByKey = Map.copyOf(keyTable);
  }

  /** Returns the operators' version; 0 before the first. */
  public long version() {
    return version;
  }

  /** Returns whether a configuration has been read at all. */
  public boolean isPresent() {
    return version > 0;
  }

  /** Returns the bounds on callers' requests. */
  public CallerLimits callerLimits() {
    return callerLimits;
  }

  /** Returns a queue by its name. */
  public Optional<QueueConfig> queue(String name) {
    return Optional.ofNullable(queues.get(name));
  }

  /** Returns all queues, by name. */
  public Map<String, QueueConfig> queues() {
    return queues;
  }

  /** Returns a service by its name. */
  public Optional<ServiceConfig> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all services, by name. */
  public Map<String, ServiceConfig> services() {
    return services;
  }

  /** Returns a team by its name. */
  public Optional<TeamConfig> team(String name) {
    return Optional.ofNullable(teams.get(name));
  }

  /** Returns all teams, by name. */
  public Map<String, TeamConfig> teams() {
    return teams;
  }

  /** Returns the team that a key belongs to. */
  public Optional<String> teamOfKey(String key) {
    return Optional.ofNullable(teamsByKey.get(key));
  }

  /** Returns the queue with the longest path prefix that the path begins with. */
  public Optional<QueueConfig> route(String host, String path) {
    QueueConfig best = null;
    for (QueueConfig queue : queuesByHost.getOrDefault(host, List.of())) {
      boolean isLonger = best == null || queue.pathPrefix().length() > best.pathPrefix().length();
      if (isLonger && path.startsWith(queue.pathPrefix())) {
        best = queue;
      }
    }
    return Optional.ofNullable(best);
  }
}
