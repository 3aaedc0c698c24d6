package org.laburnumarch.internal.schedule;

import java.util.HashMap;
import java.util.Map;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.TeamConfig;

/**
 * Tracks the resources that each team uses over all workers, including runs that may have ended.
 */
final class TeamUsage {

  private final Map<String, Resources> used = new HashMap<>();

  void add(String team, Resources amount) {
    used.merge(team, amount, Resources::plus);
  }

  void remove(String team, Resources amount) {
    used.merge(team, amount, (sum, ended) -> sum.minus(ended));
  }

  Resources of(String team) {
    return used.getOrDefault(team, Resources.NONE);
  }

  /**
   * Returns whether a team's limit allows it to use {@code more}.
   *
   * @param unreported the most that the team may be using on workers that have not reported yet
   */
  boolean allows(FleetConfig config, String team, Resources more, Resources unreported) {
    return config
        .team(team)
        .map(TeamConfig::limit)
        .map(limit -> limit.allows(of(team).plus(more).plus(unreported)))
        .orElse(true);
  }
}
