package org.laburnumarch.internal.schedule;

import java.util.HashMap;
import java.util.Map;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.TeamConfig;

/** Counts what each team has running over all workers, with all that may still be running. */
final class TeamUse {

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
   * Returns whether a team may have {@code more} running.
   *
   * @param unseen what may run on workers that have not reported yet
   */
  boolean allows(FleetConfig config, String team, Resources more, Resources unseen) {
    return config
        .team(team)
        .map(TeamConfig::limit)
        .map(limit -> limit.allows(of(team).plus(more).plus(unseen)))
        .orElse(true);
  }
}
