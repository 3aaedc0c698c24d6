package org.laburnumarch.internal.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceRequest;
import org.laburnumarch.internal.state.AllowanceEntry;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.MemberEntry;

/**
 * Transfers allowance between daemons on demand.
 *
 * <p>A daemon with a shortage sends requests to peers at growing intervals. A peer transfers half
 * of its spare units. If all its units are in use, it hands over one unit at a time as work ends,
 * so that no daemon keeps scarce units indefinitely.
 */
public final class AllowancePolicy {
  private static final int FIRST_REQUEST_FANOUT = 8;

  /** Peers remember a request, so later requests of the same shortage go to fewer of them. */
  private static final int REPEATED_REQUEST_FANOUT = 3;

  /** From this request interval on, a request counts as a repeated one. */
  private static final long REPEATED_REQUEST_MIN_INTERVAL_MS = 300;

  private static final long MIN_REQUEST_INTERVAL_MS = 40;
  private static final long MAX_REQUEST_INTERVAL_MS = 1_000;

  /** Bounds how often units in use are handed over to peers. */
  private static final long HAND_OVER_INTERVAL_MS = 500;

  private final String selfId;
  private final AllowanceLedger ledger;
  private final SurplusRebalancer rebalancer;
  private final TreeMap<String, TeamDemand> demands = new TreeMap<>();
  private List<AllowanceEntry> entries = List.of();
  private final Set<String> disconnected = new HashSet<>();
  private List<String> memberIds = List.of();
  private List<String> peerIds = List.of();
  private int rotation;

  /** Creates the policy for a ledger. */
  public AllowancePolicy(String selfId, AllowanceLedger ledger) {
    this.selfId = selfId;
    this.ledger = ledger;
    this.rebalancer = new SurplusRebalancer(ledger);
  }

  /** Applies the teams and the members of a state. */
  public void onState(ControlState state) {
    entries = state.allowances().values().toJavaList();
    memberIds =
        state
            .members()
            .values()
            .filter(m -> m.isActive() && !m.memberId().equals(selfId))
            .map(MemberEntry::memberId)
            .toJavaList();
    disconnected.retainAll(memberIds);
    updatePeers();
  }

  /**
   * Stops transfers to a peer until it sends a message again. A killed daemon stays a member until
   * it is expelled, and units transferred to it would be lost until they are reclaimed.
   */
  public void onDisconnected(String memberId) {
    disconnected.add(memberId);
    demands.values().forEach(demand -> demand.removePeerRequest(memberId));
    updatePeers();
  }

  /** Resumes transfers to a peer, which has sent a message. */
  public void onHeard(String memberId) {
    if (disconnected.remove(memberId)) {
      updatePeers();
    }
  }

  private void updatePeers() {
    peerIds = memberIds.stream().filter(id -> !disconnected.contains(id)).toList();
  }

  List<AllowanceEntry> entries() {
    return entries;
  }

  /** Returns the units of a team that are reserved for a peer and must not be acquired here. */
  public long reservedUnits(String team) {
    return demand(team).reservedUnits;
  }

  /** Records that a unit was acquired or refused. */
  public void onAcquire(String team, boolean isAcquired, long nowMs) {
    if (isAcquired) {
      demand(team).recordRunning(ledger.runningUnits(team));
    } else {
      demand(team).recordRefusal(nowMs);
    }
  }

  /** Records the request of a peer and returns the transfers that serve requests now. */
  public List<OutgoingMessage> onRequest(String fromId, AllowanceRequest request, long nowMs) {
    if (!ledger.teamNames().contains(request.team())) {
      return List.of();
    }
    TeamDemand demand = demand(request.team());
    demand.recordPeerRequest(fromId, request.units(), nowMs);
    return transfers(request.team(), demand, nowMs);
  }

  /** Returns the messages to send now. */
  public List<OutgoingMessage> due(long nowMs) {
    List<OutgoingMessage> due = new ArrayList<>(ledger.retransmissions(nowMs));
    for (AllowanceEntry entry : entries) {
      TeamDemand demand = demand(entry.team());
      due.addAll(transfers(entry.team(), demand, nowMs));
      due.addAll(requests(entry, demand, nowMs));
      rebalancer.due(entry, demand, peerIds, nowMs).ifPresent(due::add);
    }
    return due;
  }

  /** Returns the requests to peers after a unit of a team was refused. */
  public List<OutgoingMessage> onShortage(String team, long nowMs) {
    return entries.stream()
        .filter(entry -> entry.team().equals(team))
        .findFirst()
        .map(entry -> requests(entry, demand(team), nowMs))
        .orElse(List.of());
  }

  /** Distributes all spare units evenly over the peers when this daemon leaves. */
  public List<OutgoingMessage> transferAllSpare(long nowMs) {
    List<OutgoingMessage> transfers = new ArrayList<>();
    for (String team : ledger.teamNames()) {
      for (int i = 0; i < peerIds.size() && ledger.spareUnits(team) > 0; i++) {
        long units = (ledger.spareUnits(team) + peerIds.size() - i - 1) / (peerIds.size() - i);
        ledger.transfer(team, peerIds.get(i), units, nowMs).ifPresent(transfers::add);
      }
    }
    return transfers;
  }

  /** Returns whether a team was recently refused a unit. */
  boolean hasShortage(String team, long nowMs) {
    return demand(team).hasShortage(nowMs);
  }

  long refusedUnits(String team) {
    return demand(team).refusedUnits();
  }

  private List<OutgoingMessage> transfers(String team, TeamDemand demand, long nowMs) {
    if (!demand.hasPeerRequests()) {
      demand.reservedUnits = 0;
      return List.of();
    }
    List<OutgoingMessage> transfers = new ArrayList<>();
    for (Map.Entry<String, Long> request : demand.peerRequests(nowMs).entrySet()) {
      long units = transferableUnits(team, demand, nowMs);
      Optional<OutgoingMessage> transfer =
          ledger.transfer(team, request.getKey(), Math.min(units, request.getValue()), nowMs);
      if (transfer.isEmpty()) {
        break;
      }
      transfers.add(transfer.get());
      demand.reducePeerRequest(request.getKey(), Math.min(units, request.getValue()));
      demand.reservedUnits = 0;
      demand.lastTransferAtMs = nowMs;
    }
    boolean isContended = !demand.peerRequests(nowMs).isEmpty() && ledger.heldUnits(team) > 0;
    demand.reservedUnits = isContended && mayHandOver(demand, nowMs) ? 1 : 0;
    return transfers;
  }

  private long transferableUnits(String team, TeamDemand demand, long nowMs) {
    if (demand.reservedUnits > 0) {
      return demand.reservedUnits;
    }
    if (demand.hasShortage(nowMs)) {
      return mayHandOver(demand, nowMs) ? 1 : 0;
    }
    return (ledger.spareUnits(team) + 1) / 2;
  }

  private static boolean mayHandOver(TeamDemand demand, long nowMs) {
    return nowMs - demand.lastTransferAtMs >= HAND_OVER_INTERVAL_MS;
  }

  private List<OutgoingMessage> requests(AllowanceEntry entry, TeamDemand demand, long nowMs) {
    if (demand.isBackoffResetDue(nowMs)) {
      demand.requestIntervalMs = 0;
      demand.nextRequestAtMs = nowMs;
    }
    if (!demand.hasShortage(nowMs)
        || nowMs < demand.nextRequestAtMs
        || ledger.spareUnits(entry.team()) > demand.reservedUnits) {
      return List.of();
    }
    demand.requestIntervalMs =
        Math.min(
            MAX_REQUEST_INTERVAL_MS,
            Math.max(MIN_REQUEST_INTERVAL_MS, demand.requestIntervalMs * 2));
    demand.nextRequestAtMs = nowMs + demand.requestIntervalMs;
    int units = (int) demand.takeRefusedUnits(entry.limitUnits());
    int fanout =
        demand.requestIntervalMs < REPEATED_REQUEST_MIN_INTERVAL_MS
            ? FIRST_REQUEST_FANOUT
            : REPEATED_REQUEST_FANOUT;
    return likelyDonors(entry, fanout).stream()
        .limit(fanout)
        .map(peer -> new OutgoingMessage(peer, new AllowanceRequest(entry.team(), units)))
        .toList();
  }

  /**
   * Returns peers in the order in which to ask them, rotated at each call. The first requests of a
   * shortage put the peers with the most base units in front.
   */
  private List<String> likelyDonors(AllowanceEntry entry, int fanout) {
    if (peerIds.size() <= fanout) {
      return peerIds;
    }
    rotation = (rotation + fanout) % peerIds.size();
    List<String> ordered = new ArrayList<>(peerIds.subList(rotation, peerIds.size()));
    ordered.addAll(peerIds.subList(0, rotation));
    if (fanout < FIRST_REQUEST_FANOUT) {
      return ordered;
    }
    List<String> largestBases =
        ordered.stream()
            .sorted(Comparator.comparing(p -> -entry.baseUnits().get(p).getOrElse(0)))
            .limit(fanout / 2)
            .toList();
    ordered.removeAll(largestBases);
    ordered.addAll(0, largestBases);
    return ordered;
  }

  private TeamDemand demand(String team) {
    return demands.computeIfAbsent(team, name -> new TeamDemand());
  }
}
