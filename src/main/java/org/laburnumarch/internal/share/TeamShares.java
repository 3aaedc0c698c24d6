package org.laburnumarch.internal.share;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import org.laburnumarch.internal.job.FleetConfig;

/**
 * The teams' shares of all pools, and their agreed rates of jobs, which count over all pools. Not
 * thread-safe; no I/O.
 */
public final class TeamShares {

  private final TeamCredits credits = new TeamCredits();
  private final Map<String, PoolShares> pools = new HashMap<>();
  private TeamWeights weights = TeamWeights.NONE;

  /** Replaces the configuration. */
  public void configure(FleetConfig config) {
    weights = TeamWeights.of(config);
  }

  /** Returns the weights in force. */
  public TeamWeights weights() {
    return weights;
  }

  /** Takes a job from a team's agreement; returns whether the job is within it. */
  public boolean tryTakeCredit(String team, long nowMs) {
    return !weights.isPresent() || credits.tryTake(team, weights.jobsPerS(team), nowMs);
  }

  /** Returns the number of jobs that a team may submit now within its agreement. */
  public double credit(String team, long nowMs) {
    return credits.available(team, weights.jobsPerS(team), nowMs);
  }

  /** Returns the shares of a pool. */
  public PoolShares pool(String service) {
    return pools.computeIfAbsent(service, name -> new PoolShares());
  }

  /** Returns the pools of which not all waiting work had room in the last round, by service. */
  public Map<String, PoolShares> fullPools(long nowMs) {
    Map<String, PoolShares> full = new HashMap<>(pools);
    full.values().removeIf(pool -> !pool.isFull(nowMs));
    return full;
  }

  /**
   * Returns the record from which a later owner continues.
   *
   * @param invitations the encoded invitations of refused callers
   */
  public SharesRecord record(byte[] invitations, long nowMs, long epochMs) {
    Map<String, Map<String, Double>> debts = new HashMap<>();
    pools.forEach((service, pool) -> debts.put(service, pool.debts()));
    return new SharesRecord(
        epochMs, credits.all(weights, nowMs), debts, ByteBuffer.wrap(invitations));
  }

  /** Continues from the record of an earlier owner. */
  public void restore(SharesRecord stored, long nowMs, long epochMs) {
    long ageMs = Math.max(0, epochMs - stored.atEpochMs());
    credits.restore(stored.credits(), nowMs - ageMs);
    stored.debtsMs().forEach((service, debts) -> pool(service).restore(debts, ageMs));
  }
}
