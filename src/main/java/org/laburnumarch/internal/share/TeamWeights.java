package org.laburnumarch.internal.share;

import java.util.HashMap;
import java.util.Map;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.TeamConfig;

/** The teams' agreed rates and shares of one version of the configuration; immutable. */
public final class TeamWeights {

  /** The weights before a configuration has been read. */
  public static final TeamWeights NONE = new TeamWeights(Map.of());

  private final Map<String, Double> jobsPerS;

  /** Weight of callers without a configured team: that of the smallest team. */
  private final double otherJobsPerS;

  private final double sum;

  private TeamWeights(Map<String, Double> jobsPerS) {
    this.jobsPerS = Map.copyOf(jobsPerS);
    this.otherJobsPerS =
        jobsPerS.values().stream().mapToDouble(w -> w).filter(w -> w > 0).min().orElse(0);
    this.sum = jobsPerS.values().stream().mapToDouble(w -> w).sum();
  }

  /** Returns the weights of the configured teams. */
  public static TeamWeights of(FleetConfig config) {
    Map<String, Double> weights = new HashMap<>();
    for (TeamConfig team : config.teams().values()) {
      weights.put(team.name(), Math.max(0, team.weight()));
    }
    return new TeamWeights(weights);
  }

  /** Returns whether any team has a weight, without which nothing is divided. */
  public boolean isPresent() {
    return sum > 0;
  }

  /** Returns the rate of jobs that was agreed with a team. */
  public double jobsPerS(String team) {
    return jobsPerS.getOrDefault(team, otherJobsPerS);
  }

  /** Returns a team's share of a pool that all teams use, from 0 to 1. */
  public double shareFraction(String team) {
    return isPresent() ? jobsPerS(team) / sum : 0;
  }
}
