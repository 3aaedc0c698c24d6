package org.laburnumarch.internal.queue;

import java.util.Objects;

/**
 * A team's share of a pool and the urgency of its requests.
 *
 * @param team name of the team
 * @param shareFraction its share of the pool under full load, from 0 to 1; with 0 it only gets idle
 *     slots
 * @param isUrgent whether its requests go first as long as it stays within its share
 */
public record TeamWeight(String team, double shareFraction, boolean isUrgent) {

  /** Name of the team that is charged for requests to services that are open to all. */
  public static final String OPEN = "open";

  public TeamWeight {
    Objects.requireNonNull(team, "team");
  }

  /** Returns the weight of a team without any share. */
  public static TeamWeight ofBackgroundTeam(String team) {
    return new TeamWeight(team, 0, false);
  }

  /**
   * Returns whether the team's requests run only while no team with a share has queued requests.
   */
  public boolean isBackground() {
    return shareFraction <= 0;
  }
}
