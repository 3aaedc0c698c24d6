package org.laburnumarch.internal.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.job.TeamConfig;

/** Tells jobs within a team's share from those that it sends beyond; a token bucket per team. */
final class TeamRates {

  /** Seconds of its share that a team may send at once. */
  private static final double BURST_S = 2;

  private static final double MS_PER_S = 1_000;

  private record Bucket(double tokens, long filledAtMs) {}

  private final Map<String, Bucket> buckets = new HashMap<>();

  /** Counts a job of the team and returns whether it is within the share. */
  boolean isWithinShare(Optional<TeamConfig> team, long nowMs) {
    if (team.isEmpty()) {
      return true;
    }
    double rate = team.get().weight();
    Bucket bucket = buckets.getOrDefault(team.get().name(), new Bucket(rate * BURST_S, nowMs));
    double filled =
        Math.min(rate * BURST_S, bucket.tokens() + rate * (nowMs - bucket.filledAtMs()) / MS_PER_S);
    boolean isWithin = filled >= 1;
    buckets.put(team.get().name(), new Bucket(isWithin ? filled - 1 : filled, nowMs));
    return isWithin;
  }
}
