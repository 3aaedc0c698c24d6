package org.laburnumarch.internal.share;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Virtual time of each team: the time its units were in use, divided by the share of the team.
 *
 * <p>The team with the least virtual time goes next. A team that becomes busy starts at no less
 * than the least virtual time of the busy teams, so that a team gets no credit for the time it was
 * idle.
 */
public final class TeamVirtualTimes {

  /** Replaces smaller shares, so that the charge of a team without a share stays finite. */
  private static final double MIN_SHARE = 0.001;

  private final Map<String, Double> virtualMs = new HashMap<>();
  private Set<String> busy = new HashSet<>();

  /** Replaces the set of busy teams, those with work that waits. */
  public void update(Collection<String> busyTeams) {
    if (busy.stream().noneMatch(busyTeams::contains)) {
      // Nobody has waited throughout, so only the differences matter; a team without any use is at
      // 0, and must not lag behind by all that others have ever used.
      double base = virtualMs.values().stream().mapToDouble(ms -> ms).min().orElse(0);
      virtualMs.replaceAll((team, ms) -> ms - base);
    }
    double least = busy.stream().filter(busyTeams::contains).mapToDouble(this::of).min().orElse(0);
    for (String team : busyTeams) {
      if (!busy.contains(team)) {
        virtualMs.merge(team, least, Math::max);
      }
    }
    busy = new HashSet<>(busyTeams);
  }

  /** Adds the time that units of a team were in use. */
  public void charge(String team, double unitMs, double shareFraction) {
    virtualMs.merge(team, stretched(unitMs, shareFraction), Double::sum);
  }

  /** Returns the virtual time that an amount of use takes. */
  public static double stretched(double unitMs, double shareFraction) {
    return unitMs / Math.max(MIN_SHARE, shareFraction);
  }

  /** Returns the virtual time of a team; 0 if it has used nothing yet. */
  public double of(String team) {
    return virtualMs.getOrDefault(team, 0.0);
  }

  /** Returns the least virtual time of the busy teams; of all teams if none is busy. */
  private double least() {
    Collection<String> teams = busy.isEmpty() ? virtualMs.keySet() : busy;
    return teams.stream().mapToDouble(this::of).min().orElse(0);
  }

  /** Returns how far each team that has used anything is ahead of the busy team with the least. */
  public Map<String, Double> debts() {
    double least = least();
    Map<String, Double> debts = new HashMap<>();
    virtualMs.forEach((team, ms) -> debts.put(team, Math.max(0, ms - least)));
    return debts;
  }

  /**
   * Advances teams that lag more than a limit behind the busy team that is furthest ahead, which
   * bounds debts without making the teams that are ahead equal.
   */
  public void limitSpread(double limitMs) {
    double floorMs = busy.stream().mapToDouble(this::of).max().orElse(0) - limitMs;
    virtualMs.replaceAll((team, ms) -> Math.max(ms, floorMs));
  }

  /** Reduces all debts by a time in which no team had to wait for another. */
  public void forgive(double ms) {
    double least = least();
    virtualMs.replaceAll((team, time) -> Math.max(Math.min(time, least), time - ms));
  }

  /** Replaces all virtual times by debts that an earlier process has recorded. */
  public void restore(Map<String, Double> debts) {
    busy = new HashSet<>();
    virtualMs.clear();
    virtualMs.putAll(debts);
  }
}
