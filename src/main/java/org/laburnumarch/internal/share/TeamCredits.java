package org.laburnumarch.internal.share;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells which jobs are within the agreement with their team, with a token bucket per team. A job
 * that finds no token when it arrives may get one while it waits, so a flood that ends does not
 * leave the team's later jobs beyond the agreement.
 */
final class TeamCredits {

  /** Capacity of a bucket, in seconds of the agreed rate: a burst after an idle time is served. */
  private static final double BURST_S = 2;

  private static final double MS_PER_S = 1_000;

  private record Bucket(double tokens, long filledAtMs) {}

  private final Map<String, Bucket> buckets = new HashMap<>();

  /** Takes a token for a job of a team, if one is left. */
  boolean tryTake(String team, double jobsPerS, long nowMs) {
    double filled = available(team, jobsPerS, nowMs);
    boolean isWithin = filled >= 1;
    // Jobs of before a takeover are recorded with earlier times, which must not refill it twice.
    Bucket known = buckets.get(team);
    long filledAtMs = known == null ? nowMs : Math.max(nowMs, known.filledAtMs());
    buckets.put(team, new Bucket(isWithin ? filled - 1 : filled, filledAtMs));
    return isWithin;
  }

  /** Returns the tokens of a team, in jobs. */
  double available(String team, double jobsPerS, long nowMs) {
    // A bucket holds one token at least: otherwise a team with less than one job in BURST_S would
    // never get one.
    double capacity = jobsPerS > 0 ? Math.max(1, jobsPerS * BURST_S) : 0;
    Bucket bucket = buckets.getOrDefault(team, new Bucket(capacity, nowMs));
    double elapsedS = Math.max(0, nowMs - bucket.filledAtMs()) / MS_PER_S;
    return Math.min(capacity, bucket.tokens() + jobsPerS * elapsedS);
  }

  /** Returns the tokens of all teams that have submitted jobs. */
  Map<String, Double> all(TeamWeights weights, long nowMs) {
    Map<String, Double> tokens = new HashMap<>();
    buckets
        .keySet()
        .forEach(team -> tokens.put(team, available(team, weights.jobsPerS(team), nowMs)));
    return tokens;
  }

  /** Replaces the tokens of the given teams. */
  void restore(Map<String, Double> tokens, long nowMs) {
    tokens.forEach((team, count) -> buckets.put(team, new Bucket(Math.max(0, count), nowMs)));
  }
}
