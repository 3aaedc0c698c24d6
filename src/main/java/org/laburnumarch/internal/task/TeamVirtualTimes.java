package org.laburnumarch.internal.task;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Virtual time of each team: the time its units were in use, divided by the share of the team.
 *
 * <p>The team with the least virtual time goes next. A team that becomes busy starts at no less
 * than the least virtual time of the busy teams, so that a team gets no credit for the time it was
 * idle.
 */
final class TeamVirtualTimes {

  /** Replaces smaller shares, so that the charge of a team without a share stays finite. */
  private static final double MIN_SHARE = 0.001;

  private final Map<String, Double> virtualMs = new HashMap<>();
  private java.util.Set<String> busy = new java.util.HashSet<>();

  void update(Collection<String> busyTeams) {
    double least = busy.stream().filter(busyTeams::contains).mapToDouble(this::of).min().orElse(0);
    for (String team : busyTeams) {
      if (!busy.contains(team)) {
        virtualMs.merge(team, least, Math::max);
      }
    }
    busy = new java.util.HashSet<>(busyTeams);
  }

  void charge(String team, double unitMs, double shareFraction) {
    virtualMs.merge(team, unitMs / Math.max(MIN_SHARE, shareFraction), Double::sum);
  }

  double of(String team) {
    return virtualMs.getOrDefault(team, 0.0);
  }
}
