package org.laburnumarch.internal.limit;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.laburnumarch.internal.state.AllowanceEntry;

/**
 * Transfers idle units beyond a fair share to members that hold less.
 *
 * <p>The units of a daemon that dies are lost to the team until they are reclaimed, about a minute
 * later. With units spread evenly, that is one fair share instead of the whole limit.
 */
final class SurplusRebalancer {
  private static final long INTERVAL_MS = 1_000;

  private final AllowanceLedger ledger;

  SurplusRebalancer(AllowanceLedger ledger) {
    this.ledger = ledger;
  }

  /** Returns the transfer of one team to send now, at most one per second. */
  Optional<OutgoingMessage> due(
      AllowanceEntry entry, TeamDemand demand, List<String> peerIds, long nowMs) {
    long fairUnits = ((long) entry.limitUnits() + peerIds.size()) / (peerIds.size() + 1);
    long surplusUnits =
        Math.min(
            ledger.heldUnits(entry.team()) - fairUnits, idleUnits(entry.team(), demand, nowMs));
    if (surplusUnits <= 0 || nowMs - demand.lastRebalanceAtMs < INTERVAL_MS) {
      return Optional.empty();
    }
    demand.lastRebalanceAtMs = nowMs;
    return peerIds.stream()
        .min(Comparator.comparingLong(peer -> estimatedUnits(entry, peer)))
        .flatMap(
            peer -> {
              long missingUnits = fairUnits - estimatedUnits(entry, peer);
              return ledger.transfer(
                  entry.team(), peer, Math.min(surplusUnits, missingUnits), nowMs);
            });
  }

  /** Returns the units that are not running and were not needed in the last seconds. */
  private long idleUnits(String team, TeamDemand demand, long nowMs) {
    long running = ledger.runningUnits(team);
    return ledger.spareUnits(team) + running - demand.recentPeakUnits(nowMs, running);
  }

  /** Estimates the units of a peer; transfers between other peers are not known here. */
  private long estimatedUnits(AllowanceEntry entry, String peer) {
    return entry.baseUnits().getOrElse(peer, 0) - ledger.borrowedUnits(entry.team(), peer);
  }
}
