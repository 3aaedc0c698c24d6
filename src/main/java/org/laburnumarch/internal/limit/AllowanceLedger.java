package org.laburnumarch.internal.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceTransfer;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceTransferAck;
import org.laburnumarch.internal.state.AllowanceEntry;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.MemberEntry;
import org.laburnumarch.internal.state.TransferTotals;

/**
 * Tracks the units that one daemon holds and runs for each team. Not thread-safe.
 *
 * <p>The control log splits the limit of a team among the members; the offset of a split is its
 * epoch. Between splits, members transfer units directly. Transfer messages carry cumulative
 * totals: the sender debits itself first and retransmits the total until it is confirmed, so that
 * lost messages only delay a transfer and duplicates have no effect.
 */
public final class AllowanceLedger {
  /** How long a total may stay unconfirmed before it is retransmitted. */
  public static final long RETRANSMIT_INTERVAL_MS = 500;

  private final String selfId;
  private final long unlockWaitMs;
  private final TreeMap<String, TeamLedger> teams = new TreeMap<>();
  private final Map<String, Long> overallocatedSums = new HashMap<>();
  private ControlState state = ControlState.empty();
  private boolean started;

  /**
   * Creates the ledger for one incarnation.
   *
   * @param unlockWaitMs how long a daemon can still run work under an older split after a majority
   *     has read the new one
   */
  public AllowanceLedger(String selfId, long unlockWaitMs) {
    this.selfId = selfId;
    this.unlockWaitMs = unlockWaitMs;
  }

  /** Applies the base units and the members of a state. */
  public void onState(ControlState newState, long nowMs) {
    state = newState;
    Set<String> members = state.members().keySet().toJavaSet();
    overallocatedSums.clear();
    for (AllowanceEntry entry : state.allowances().values()) {
      applySplit(entry, members);
      recordOverallocation(entry);
    }
    teams.forEach(this::clearIfRemoved);
    started = true;
    unlockAcknowledgedSplits(nowMs);
  }

  private void recordOverallocation(AllowanceEntry entry) {
    long sum = entry.unassignedUnits() + entry.baseUnits().values().sum().longValue();
    if (sum > entry.limitUnits()) {
      overallocatedSums.put(entry.team(), sum);
    }
  }

  private void applySplit(AllowanceEntry entry, Set<String> members) {
    long base = entry.baseUnits().get(selfId).getOrElse(0);
    TeamLedger team = teams.get(entry.team());
    if (team == null) {
      teams.put(
          entry.team(), new TeamLedger(entry.epoch(), base, hasNoWorkUnderEarlierSplit(entry)));
    } else if (team.epoch() != entry.epoch()) {
      team.startEpoch(entry.epoch(), base);
    } else {
      team.updateBase(base, members);
    }
  }

  /**
   * Returns whether no other daemon can run work under an earlier split of the team: this daemon
   * saw the team being created, or all other members joined after the split.
   */
  private boolean hasNoWorkUnderEarlierSplit(AllowanceEntry entry) {
    return started
        || state.members().values().forAll(m -> isSelf(m) || m.joinedAtOffset() > entry.epoch());
  }

  private void clearIfRemoved(String name, TeamLedger team) {
    if (!state.allowances().containsKey(name)) {
      team.startEpoch(team.epoch(), 0);
    }
  }

  /** Unlocks the units of splits once no daemon can still run work under an older split. */
  public void unlockAcknowledgedSplits(long nowMs) {
    for (TeamLedger team : teams.values()) {
      if (!team.isUnlocked() && isAcknowledgedByMajority(team.epoch())) {
        team.unlockAfter(nowMs, unlockWaitMs);
      }
    }
  }

  private boolean isAcknowledgedByMajority(long offset) {
    var counting = state.members().values().filter(MemberEntry::isCounting);
    int acknowledgedCount = counting.count(m -> m.acknowledgedOffset() > offset);
    return counting.isEmpty() || acknowledgedCount * 2 > counting.size();
  }

  /** Returns whether a split at or after an offset still needs acknowledgements. */
  public boolean isAcknowledgementNeeded(long acknowledgedOffset) {
    return teams.values().stream()
        .anyMatch(
            t ->
                !t.isUnlocked()
                    && t.epoch() >= acknowledgedOffset
                    && !isAcknowledgedByMajority(t.epoch()));
  }

  /** Acquires one unit of a team, or returns why not; {@code reservedUnits} are kept for peers. */
  public Optional<Refusal> tryAcquire(String teamName, long reservedUnits) {
    TeamLedger team = teams.get(teamName);
    if (team == null || !team.acquire(reservedUnits)) {
      return Optional.of(
          Refusal.retryable(
              ResultCode.LIMIT_REACHED,
              "team " + teamName + " already runs all units that this entry may run; retry shortly",
              100));
    }
    return checkSplit(teamName).or(() -> checkRunning(teamName, team));
  }

  /**
   * Refuses if the split adds up to more than the limit, as daemons could then exceed the limit.
   */
  private Optional<Refusal> checkSplit(String teamName) {
    return Optional.ofNullable(overallocatedSums.get(teamName))
        .map(
            sum ->
                undoAcquire(
                    teamName,
                    breach(
                        "the allowance of team "
                            + teamName
                            + " exceeds its limit with a total of "
                            + sum)));
  }

  private Optional<Refusal> checkRunning(String teamName, TeamLedger team) {
    return team.runningUnits() <= team.heldUnits()
        ? Optional.empty()
        : Optional.of(
            undoAcquire(
                teamName,
                breach("team " + teamName + " would run more units than this entry holds")));
  }

  private Refusal undoAcquire(String teamName, Refusal refusal) {
    teams.get(teamName).release();
    return refusal;
  }

  private static Refusal breach(String problem) {
    return Refusal.of(
        ResultCode.INVARIANT_UPPER_LIMIT,
        problem + "; report this with the log output of this daemon");
  }

  /** Releases one unit of a team; releasing a unit that was not acquired is a breach. */
  public Optional<Refusal> release(String teamName) {
    TeamLedger team = teams.get(teamName);
    return team != null && team.release()
        ? Optional.empty()
        : Optional.of(breach("team " + teamName + " released a unit that it had not acquired"));
  }

  /**
   * Transfers up to {@code requestedUnits} to a peer; empty if no unit is spare, the peer is not
   * active, or an earlier transfer to it is unconfirmed.
   */
  public Optional<OutgoingMessage> transfer(
      String teamName, String peerId, long requestedUnits, long nowMs) {
    TeamLedger team = teams.get(teamName);
    if (team == null || !isActive(peerId) || !state.allowances().containsKey(teamName)) {
      return Optional.empty();
    }
    if (!team.counter(peerId).isConfirmed()) {
      // Otherwise a peer that died while its request was pending would get repeated transfers.
      return Optional.empty();
    }
    long units = Math.min(requestedUnits, team.spareUnits());
    if (units <= 0) {
      return Optional.empty();
    }
    long total = team.send(peerId, units, nowMs);
    return Optional.of(
        new OutgoingMessage(peerId, new AllowanceTransfer(teamName, team.epoch(), total)));
  }

  /** Applies a total from a peer and confirms it; empty if its epoch or a member does not match. */
  public Optional<OutgoingMessage> onTransfer(String fromId, AllowanceTransfer transfer) {
    TeamLedger team = teams.get(transfer.team());
    if (team == null
        || team.epoch() != transfer.epoch()
        || !isActive(fromId)
        || !isActive(selfId)) {
      return Optional.empty();
    }
    team.receive(fromId, transfer.cumulativeUnits());
    long total = team.counter(fromId).receivedUnits();
    return Optional.of(
        new OutgoingMessage(
            fromId, new AllowanceTransferAck(transfer.team(), transfer.epoch(), total)));
  }

  /** Records which total a peer has confirmed. */
  public void onTransferAck(String fromId, AllowanceTransferAck ack) {
    TeamLedger team = teams.get(ack.team());
    if (team != null && team.epoch() == ack.epoch()) {
      team.counter(fromId).confirm(ack.cumulativeUnits());
    }
  }

  /** Returns the unconfirmed totals to retransmit now. */
  public List<OutgoingMessage> retransmissions(long nowMs) {
    List<OutgoingMessage> due = new ArrayList<>();
    teams.forEach(
        (name, team) ->
            team.forEachCounter(
                (peer, counter) -> {
                  if (isActive(peer) && counter.tryRetransmit(nowMs, RETRANSMIT_INTERVAL_MS)) {
                    long total = counter.sentUnits();
                    due.add(
                        new OutgoingMessage(
                            peer, new AllowanceTransfer(name, team.epoch(), total)));
                  }
                }));
    return due;
  }

  /** Returns whether active peers have confirmed all transfers to them. */
  public boolean isEveryTransferConfirmed() {
    boolean[] confirmed = {true};
    for (TeamLedger team : teams.values()) {
      team.forEachCounter((peer, c) -> confirmed[0] &= c.isConfirmed() || !isActive(peer));
    }
    return confirmed[0];
  }

  /** Returns the final transfer totals with departed members. */
  public List<TransferTotals> totalsWithDeparted() {
    List<TransferTotals> totals = new ArrayList<>();
    teams.forEach(
        (name, team) ->
            team.forEachCounter(
                (peer, c) -> {
                  if (!c.isEmpty() && !isActive(peer) && state.allowances().containsKey(name)) {
                    totals.add(
                        new TransferTotals(
                            peer, name, team.epoch(), c.sentUnits(), c.receivedUnits()));
                  }
                }));
    return totals;
  }

  /** Returns the names of all teams, in order. */
  public List<String> teamNames() {
    return List.copyOf(teams.keySet());
  }

  /** Returns how many units of a team are running. */
  public long runningUnits(String team) {
    return Optional.ofNullable(teams.get(team)).map(TeamLedger::runningUnits).orElse(0L);
  }

  /** Returns how many units of all teams are running. */
  public long runningUnits() {
    return teams.values().stream().mapToLong(TeamLedger::runningUnits).sum();
  }

  /** Returns how many units of a team are held, locked ones included. */
  public long heldUnits(String team) {
    return Optional.ofNullable(teams.get(team)).map(TeamLedger::heldUnits).orElse(0L);
  }

  /** Returns how many units could be acquired or transferred now. */
  public long spareUnits(String team) {
    return Optional.ofNullable(teams.get(team)).map(TeamLedger::spareUnits).orElse(0L);
  }

  /** Returns how many more units a peer has transferred to this daemon than it received. */
  long borrowedUnits(String team, String peerId) {
    TransferCounter counter = teams.get(team).counter(peerId);
    return counter.receivedUnits() - counter.sentUnits();
  }

  private boolean isActive(String memberId) {
    return state.members().get(memberId).exists(m -> !m.status().isDeparted());
  }

  private boolean isSelf(MemberEntry member) {
    return member.memberId().equals(selfId);
  }
}
