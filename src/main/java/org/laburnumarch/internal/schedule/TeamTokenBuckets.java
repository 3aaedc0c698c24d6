package org.laburnumarch.internal.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.job.TeamConfig;

/**
 * Tells which jobs are within their team's share of jobs per second, with a token bucket per team.
 */
final class TeamTokenBuckets {

  /** Capacity of a bucket, in seconds of the team's share. */
  private static final double BURST_S = 2;

  private static final double MS_PER_S = 1_000;

  private record Bucket(double tokens, long filledAtMs) {}

  private final Map<String, Bucket> buckets = new HashMap<>();

  /**
   * Takes a token for a job of the team, if one is left; returns whether the job is within the
   * team's share. A job of an unknown team always is.
   */
  boolean tryTakeToken(Optional<TeamConfig> team, long nowMs) {
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
