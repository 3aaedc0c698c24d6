package org.laburnumarch.internal.platform.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.laburnumarch.internal.platform.standin.OperatorConfig.Queue;
import org.laburnumarch.internal.platform.standin.OperatorConfig.Team;

/** The versions of the configuration that operators have written. */
final class WrittenConfigs {

  /** Time after which every daemon that can read the store has replaced an earlier version. */
  private static final long MAX_IN_FORCE_MS = 10_000;

  private record Version(OperatorConfig config, long replacedAtMs) {}

  private final List<Version> replaced = new ArrayList<>();
  private Optional<OperatorConfig> newest = Optional.empty();

  void add(OperatorConfig config, long nowMs) {
    newest.ifPresent(earlier -> replaced.add(new Version(earlier, nowMs)));
    newest = Optional.of(config);
  }

  private Stream<OperatorConfig> mayBeInForce(long nowMs) {
    return Stream.concat(
        newest.stream(),
        replaced.stream()
            .filter(version -> nowMs - version.replacedAtMs() <= MAX_IN_FORCE_MS)
            .map(Version::config));
  }

  /** Returns the limits of a team in the versions that may be in force. */
  LongStream teamLimits(String team, long nowMs) {
    return mayBeInForce(nowMs)
        .flatMap(config -> config.team(team).stream())
        .mapToLong(Team::cpuMillis);
  }

  /**
   * Returns the pool that serves a queue; empty if versions that may be in force differ on it, or
   * if the queue is not routed.
   */
  Optional<String> poolOf(String queue, long nowMs) {
    Set<Optional<String>> pools =
        mayBeInForce(nowMs)
            .map(config -> config.queue(queue).map(Queue::pool))
            .collect(Collectors.toSet());
    return pools.size() == 1 ? pools.iterator().next() : Optional.empty();
  }

  /** Returns whether any version sends a queue to a pool. */
  boolean hasRoute(String queue, String pool) {
    return Stream.concat(newest.stream(), replaced.stream().map(Version::config))
        .flatMap(config -> config.queue(queue).stream())
        .anyMatch(found -> found.pool().equals(pool));
  }

  boolean isEmpty() {
    return newest.isEmpty();
  }
}
