package org.laburnumarch.internal.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.laburnumarch.internal.state.AllowanceEntry;
import org.laburnumarch.internal.state.RecordBody.AllowanceClaimed;
import org.laburnumarch.internal.state.TeamUnits;

/**
 * Claims unassigned allowance: a fair share at the start, then on demand.
 *
 * <p>Units that stay unassigned are claimed by the member with the lowest seat after a delay,
 * because unassigned units cannot be used while the log is down.
 */
public final class AllowanceClaims {
  private static final long INTERVAL_MS = 1_000;
  private static final long LEFTOVER_AFTER_MS = 5_000;

  private final String selfId;
  private final AllowancePolicy policy;
  private boolean hasClaimedFairShare;
  private long nextClaimAtMs = Long.MIN_VALUE;
  private long leftoverSinceMs = Long.MAX_VALUE;

  /** Creates the claims for one incarnation. */
  public AllowanceClaims(String selfId, AllowancePolicy policy) {
    this.selfId = selfId;
    this.policy = policy;
  }

  /**
   * Returns the claim to append now, at most one per second.
   *
   * @param seatedCount active members with a seat, this one included
   * @param isLowestSeat whether no active member has a lower seat
   */
  public Optional<AllowanceClaimed> due(int seatedCount, boolean isLowestSeat, long nowMs) {
    boolean isLeftover = isLeftover(nowMs);
    if (nowMs < nextClaimAtMs) {
      return Optional.empty();
    }
    List<TeamUnits> claims = new ArrayList<>();
    for (AllowanceEntry entry : policy.entries()) {
      int units = Math.min(entry.unassignedUnits(), claimableUnits(entry, seatedCount, nowMs));
      if (isLeftover && isLowestSeat) {
        units = entry.unassignedUnits();
      }
      if (units > 0) {
        claims.add(new TeamUnits(entry.team(), units));
      }
    }
    if (claims.isEmpty()) {
      return Optional.empty();
    }
    hasClaimedFairShare = true;
    nextClaimAtMs = nowMs + INTERVAL_MS;
    return Optional.of(new AllowanceClaimed(selfId, claims));
  }

  private int claimableUnits(AllowanceEntry entry, int seatedCount, long nowMs) {
    int fairUnits = (entry.limitUnits() + seatedCount - 1) / Math.max(1, seatedCount);
    if (!hasClaimedFairShare) {
      return fairUnits;
    }
    return policy.hasShortage(entry.team(), nowMs)
        ? (int) Math.max(fairUnits, policy.refusedUnits(entry.team()))
        : 0;
  }

  private boolean isLeftover(long nowMs) {
    boolean isAnyUnassigned = policy.entries().stream().anyMatch(e -> e.unassignedUnits() > 0);
    if (!isAnyUnassigned) {
      leftoverSinceMs = Long.MAX_VALUE;
    } else if (leftoverSinceMs == Long.MAX_VALUE) {
      leftoverSinceMs = nowMs;
    }
    return isAnyUnassigned && nowMs - leftoverSinceMs >= LEFTOVER_AFTER_MS;
  }
}
