package org.laburnumarch.internal.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the operators' configuration; immutable. */
public final class FleetConfig {

  /** The configuration that applies before one has been read. */
  public static final FleetConfig EMPTY =
      new FleetConfig(0, List.of(), List.of(), List.of(), CallerLimits.DEFAULT);

  /**
   * Limits on callers' requests.
   *
   * @param bodyBytes maximum size of a request body in bytes
   * @param idleTimeoutMs how long a connection may stay idle, in milliseconds
   */
  public record CallerLimits(int bodyBytes, long idleTimeoutMs) {
    /** The limits that apply unless the configuration sets others. */
    public static final CallerLimits DEFAULT = new CallerLimits(262_144, 15_000);
  }

  private final long version;
  private final Map<String, QueueConfig> queues;
  private final Map<String, List<QueueConfig>> queuesByHost;
  private final Map<String, ServiceConfig> services;
  private final Map<String, TeamConfig> teams;
  private final Map<String, String> teamsByKey;
  private final CallerLimits callerLimits;

  /** Builds the lookup tables of one version of the configuration. */
  public FleetConfig(
      long version,
      List<QueueConfig> queues,
      List<ServiceConfig> services,
      List<TeamConfig> teams,
      CallerLimits callerLimits) {
    this.version = version;
    this.callerLimits = callerLimits;
    Map<String, QueueConfig> queuesByName = new HashMap<>();
    Map<String, List<QueueConfig>> queueListsByHost = new HashMap<>();
    for (QueueConfig queue : queues) {
      queuesByName.put(queue.name(), queue);
      queueListsByHost.computeIfAbsent(queue.host(), host -> new ArrayList<>()).add(queue);
    }
    queueListsByHost.replaceAll((host, list) -> List.copyOf(list));
    this.queues = Map.copyOf(queuesByName);
    this.queuesByHost = Map.copyOf(queueListsByHost);
    Map<String, ServiceConfig> servicesByName = new HashMap<>();
    services.forEach(service -> servicesByName.put(service.name(), service));
    this.services = Map.copyOf(servicesByName);
    Map<String, TeamConfig> teamsByName = new HashMap<>();
    Map<String, String> teamNamesByKey = new HashMap<>();
    for (TeamConfig team : teams) {
      teamsByName.put(team.name(), team);
      team.keys().forEach(key -> teamNamesByKey.put(key, team.name()));
    }
    this.teams = Map.copyOf(teamsByName);
    this.teamsByKey = Map.copyOf(teamNamesByKey);
  }

  /** Returns the version number; 0 before a configuration has been read. */
  public long version() {
    return version;
  }

  /** Returns whether a configuration has been read. */
  public boolean isPresent() {
    return version > 0;
  }

  /** Returns the limits on callers' requests. */
  public CallerLimits callerLimits() {
    return callerLimits;
  }

  /** Returns a queue by its name; empty if there is none. */
  public Optional<QueueConfig> queue(String name) {
    return Optional.ofNullable(queues.get(name));
  }

  /** Returns all queues, by name. */
  public Map<String, QueueConfig> queues() {
    return queues;
  }

  /** Returns a service by its name; empty if there is none. */
  public Optional<ServiceConfig> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all services, by name. */
  public Map<String, ServiceConfig> services() {
    return services;
  }

  /** Returns a team by its name; empty if there is none. */
  public Optional<TeamConfig> team(String name) {
    return Optional.ofNullable(teams.get(name));
  }

  /** Returns all teams, by name. */
  public Map<String, TeamConfig> teams() {
    return teams;
  }

  /** Returns the name of the team that a key belongs to; empty if the key is unknown. */
  public Optional<String> teamOfKey(String key) {
    return Optional.ofNullable(teamsByKey.get(key));
  }

  /**
   * Returns the queue of a host with the longest path prefix that matches the path; empty if none
   * matches.
   */
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
