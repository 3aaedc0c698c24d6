package org.laburnumarch.internal.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.laburnumarch.Outcome;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.limit.AllowanceClaims;
import org.laburnumarch.internal.limit.AllowanceLedger;
import org.laburnumarch.internal.limit.AllowancePolicy;
import org.laburnumarch.internal.limit.OutgoingMessage;
import org.laburnumarch.internal.peer.PeerMessage;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceRequest;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceTransfer;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceTransferAck;
import org.laburnumarch.internal.peer.PeerMessage.Ping;
import org.laburnumarch.internal.peer.PeerMessage.Pong;
import org.laburnumarch.internal.peer.PeerMessage.PoolDemand;
import org.laburnumarch.internal.peer.PeerMessage.Records;
import org.laburnumarch.internal.peer.PeerMessage.Report;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.MemberEntry;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordBody.MemberJoined;

/**
 * Decides about members, authority and allowances for one incarnation of a daemon.
 *
 * <p>One thread calls the methods that return effects. {@link #tryAcquire}, {@link #release} and
 * {@link #checkAuthority} may be called by any thread. All instants are milliseconds of the local
 * monotonic clock.
 */
public final class MemberDecisions {
  private static final int MAX_POOLS_IN_PONG = 10;

  private final Object lock = new Object();
  private final MemberIdentity identity;
  private final Freshness freshness = new Freshness();
  private final PeerReports reports = new PeerReports();
  private final HeartbeatTracker heartbeats = new HeartbeatTracker();
  private final MissingInstances missingInstances = new MissingInstances();
  private final ProposalThrottle proposals = new ProposalThrottle();
  private final CatchUp catchUp = new CatchUp();
  private final PingSchedule pings;
  private final AllowanceLedger ledger;
  private final AllowancePolicy policy;
  private final AllowanceClaims claims;
  private final FailureDetector detector;
  private final DepartureSettlement settlement;
  private final GracefulDeparture departure;
  private final Authority authority;
  private final List<Refusal> breaches = new ArrayList<>();

  private MemberView view;
  private List<PoolDemand> demand = List.of();
  private boolean hasJoined;

  /** Whether to ping members that have not yet reported the newest offset of this daemon. */
  private boolean isOffsetAnnouncementDue;

  private long lastTickAtMs = Long.MAX_VALUE;

  /** Creates the initial state of a new incarnation. */
  public MemberDecisions(MemberIdentity identity, UniformRandomProvider random) {
    this(identity, random, Safeguards.ALL);
  }

  MemberDecisions(MemberIdentity identity, UniformRandomProvider random, Safeguards safeguards) {
    this.identity = identity;
    pings = new PingSchedule(random.nextInt(1 << 16));
    view = new MemberView(ControlState.empty(), identity.memberId());
    ledger = new AllowanceLedger(identity.memberId(), safeguards.unlockWaitMs());
    policy = new AllowancePolicy(identity.memberId(), ledger);
    claims = new AllowanceClaims(identity.memberId(), policy);
    detector = new FailureDetector(heartbeats, missingInstances, proposals);
    settlement = new DepartureSettlement(ledger, proposals, safeguards.reclaimWaitMs());
    departure = new GracefulDeparture(ledger, policy, proposals);
    authority = new Authority(freshness, reports, view, safeguards.isMajorityNeeded());
  }

  /** Returns the identity of this incarnation. */
  public MemberIdentity identity() {
    return identity;
  }

  /** Returns why no work may be dispatched now; empty if it may. */
  public Optional<Refusal> checkAuthority(long nowMs) {
    synchronized (lock) {
      if (departure.isLeaving()) {
        return Optional.of(
            Refusal.retryable(
                ResultCode.SHUTTING_DOWN, "this entry is shutting down; repeat the request", 100));
      }
      return recordBreach(authority.check(nowMs));
    }
  }

  /**
   * Acquires one unit of a team, or returns why it may not run. On {@code LIMIT_REACHED}, call
   * {@link #onShortage} on the thread that calls the methods returning effects.
   */
  public Optional<Refusal> tryAcquire(String team, long nowMs) {
    synchronized (lock) {
      Optional<Refusal> refusal =
          checkAuthority(nowMs).or(() -> recordBreach(acquire(team, nowMs)));
      return refusal;
    }
  }

  private Optional<Refusal> acquire(String team, long nowMs) {
    Optional<Refusal> refusal = ledger.tryAcquire(team, policy.reservedUnits(team));
    policy.onAcquire(team, refusal.isEmpty(), nowMs);
    return refusal;
  }

  /** Releases one unit of a team that {@link #tryAcquire} acquired. */
  public void release(String team) {
    synchronized (lock) {
      recordBreach(ledger.release(team));
    }
  }

  /** Returns the allowance requests to send after a unit was refused. */
  public List<MembershipEffect> onShortage(String team, long nowMs) {
    synchronized (lock) {
      return departure.isLeaving() ? List.of() : toSendEffects(policy.onShortage(team, nowMs));
    }
  }

  /** Applies a state that includes more records. */
  public List<MembershipEffect> onStateChanged(ControlState state, long nowMs) {
    synchronized (lock) {
      isOffsetAnnouncementDue |= state.nextOffset() > view.state().nextOffset();
      view = new MemberView(state, identity.memberId());
      hasJoined |= view.self().isPresent();
      reports.retainMembers(state.members().keySet().toJavaSet());
      heartbeats.onMembers(view, nowMs);
      detector.onState(view, nowMs);
      ledger.onState(state, nowMs);
      policy.onState(state);
      settlement.onState(view, nowMs);
      authority.onState(view);
      catchUp.onState();
      return isExpelled() ? List.of(new MembershipEffect.Rejoin()) : List.of();
    }
  }

  private boolean isExpelled() {
    return hasJoined && !departure.isLeaving() && !view.isActive(identity.memberId());
  }

  /**
   * Records that a read of the log reached the tail; call after passing the resulting state to
   * {@link #onStateChanged}.
   *
   * @param requestSentAtMs when the read was sent, not when its response arrived
   */
  public void onTailConfirmed(long requestSentAtMs) {
    synchronized (lock) {
      freshness.confirmTail(requestSentAtMs);
    }
  }

  /** Applies the list of instances that the platform reports, both live and leaving. */
  public void onInstanceList(Set<String> reportedInstances, long nowMs) {
    synchronized (lock) {
      Set<String> instances =
          view.state().members().values().map(MemberEntry::instance).toJavaSet();
      missingInstances.onList(reportedInstances, instances, nowMs);
    }
  }

  /** Sets the demand to include in the next reports to peers. */
  public void onDemand(List<PoolDemand> ownDemand) {
    synchronized (lock) {
      demand = List.copyOf(ownDemand);
    }
  }

  /** Begins a graceful departure: no work is dispatched from now on. */
  public void beginLeave(long nowMs) {
    synchronized (lock) {
      departure.begin(nowMs);
    }
  }

  /** Stops transfers to a peer because the last connection with it closed. */
  public void onDisconnected(String memberId) {
    synchronized (lock) {
      policy.onDisconnected(memberId);
    }
  }

  /** Applies a message of an authenticated peer and returns the replies. */
  public List<MembershipEffect> onPeerMessage(
      String fromMemberId, PeerMessage message, ControlState state, long nowMs) {
    synchronized (lock) {
      heartbeats.recordHeartbeat(fromMemberId, nowMs);
      policy.onHeard(fromMemberId);
      if (message instanceof Ping ping) {
        onReport(fromMemberId, ping.report(), nowMs);
        if (departure.isDepartureProposed()) {
          // The departure may already be in force, so a pong would no longer be valid evidence.
          return List.of();
        }
        Pong pong = new Pong(ping.pingId(), pongReport(nowMs));
        return List.of(new MembershipEffect.Send(fromMemberId, pong));
      }
      if (message instanceof Pong pong) {
        onPong(fromMemberId, pong, state, nowMs);
      } else if (message instanceof Records records) {
        catchUp.onRecords(records, state.nextOffset());
      }
      return onAllowanceMessage(fromMemberId, message, nowMs);
    }
  }

  private void onReport(String fromMemberId, Report report, long nowMs) {
    reports.onReport(fromMemberId, report, nowMs);
    heartbeats.recordReported(report.heartbeats(), nowMs);
  }

  private void onPong(String fromMemberId, Pong pong, ControlState state, long nowMs) {
    OptionalLong sentAtMs = pings.complete(pong.pingId(), fromMemberId);
    if (sentAtMs.isEmpty()) {
      return;
    }
    onReport(fromMemberId, pong.report(), nowMs);
    reports.onPong(fromMemberId, pong.report(), sentAtMs.getAsLong());
    if (pong.report().nextOffset() == state.nextOffset()) {
      freshness.adoptFromPeer(sentAtMs.getAsLong(), pong.report().freshnessAgeMs());
    }
  }

  private List<MembershipEffect> onAllowanceMessage(
      String fromId, PeerMessage message, long nowMs) {
    if (message instanceof AllowanceRequest request && !departure.isLeaving()) {
      return toSendEffects(policy.onRequest(fromId, request, nowMs));
    }
    if (message instanceof AllowanceTransfer transfer) {
      return toSendEffects(ledger.onTransfer(fromId, transfer).stream().toList());
    }
    if (message instanceof AllowanceTransferAck ack) {
      ledger.onTransferAck(fromId, ack);
    }
    return List.of();
  }

  /** Runs time-based work; call every 10 to 100 ms. */
  public List<MembershipEffect> onTick(ControlState state, long nowMs) {
    synchronized (lock) {
      if (nowMs - lastTickAtMs > MemberTimes.PROCESS_PAUSE_MS) {
        heartbeats.resetSilence(nowMs);
      }
      lastTickAtMs = nowMs;
      ledger.unlockAcknowledgedSplits(nowMs);
      List<MembershipEffect> effects = new ArrayList<>(pingsDue(nowMs));
      boolean isReachable = freshness.isLogReachable(nowMs);
      catchUp.due(reports, state.nextOffset(), isReachable, nowMs).ifPresent(effects::add);
      if (departure.isLeaving()) {
        effects.addAll(toSendEffects(ledger.retransmissions(nowMs)));
        effects.addAll(departure.due(view, isReachable, nowMs));
      } else {
        effects.addAll(toSendEffects(policy.due(nowMs)));
      }
      if (isReachable) {
        recordsDue(nowMs).forEach(body -> effects.add(new MembershipEffect.Append(body)));
      }
      breaches.forEach(refusal -> effects.add(new MembershipEffect.InvariantBreached(refusal)));
      breaches.clear();
      return effects;
    }
  }

  private List<MembershipEffect> pingsDue(long nowMs) {
    List<MembershipEffect> effects = new ArrayList<>();
    boolean isFresh = freshness.isFresh(nowMs);
    boolean isOutage = !isFresh && authority.isOutage(nowMs);
    boolean isAgeing = isFresh && freshness.ageMs(nowMs) > MemberTimes.AGEING_AFTER_MS;
    List<String> roundTargets =
        pings.targetsDue(view.pingTargets(), isFresh, isAgeing, isOutage, nowMs);
    roundTargets.forEach(peer -> effects.add(ping(peer, true, nowMs)));
    if (isOffsetAnnouncementDue) {
      isOffsetAnnouncementDue = false;
      view.pingTargets()
          .filter(peer -> !roundTargets.contains(peer))
          .filter(peer -> reports.reportedOffsetOf(peer) < view.state().nextOffset())
          .forEach(peer -> effects.add(ping(peer, false, nowMs)));
    }
    return effects;
  }

  /**
   * Returns short pings to the members that have not yet reported applying an offset, for an
   * operator who waits until a change is in force.
   */
  public List<MembershipEffect> pingMembersBehind(long offset, long nowMs) {
    synchronized (lock) {
      List<MembershipEffect> effects = new ArrayList<>();
      view.pingTargets()
          .filter(peer -> reports.reportedOffsetOf(peer) <= offset)
          .forEach(peer -> effects.add(ping(peer, false, nowMs)));
      return effects;
    }
  }

  private MembershipEffect ping(String peer, boolean isFull, long nowMs) {
    return new MembershipEffect.Send(
        peer, new Ping(pings.register(peer, nowMs), report(isFull, nowMs)));
  }

  /** Omits demand from pongs if there are many pools, which halves its cost. */
  private Report pongReport(long nowMs) {
    Report full = report(true, nowMs);
    return demand.size() <= MAX_POOLS_IN_PONG
        ? full
        : new Report(full.nextOffset(), full.freshnessAgeMs(), full.heartbeats(), List.of());
  }

  private Report report(boolean isFull, long nowMs) {
    return new Report(
        view.state().nextOffset(),
        freshness.ageMs(nowMs),
        isFull ? heartbeats.recentHeartbeats(view, nowMs) : List.of(),
        isFull ? demand : List.of());
  }

  private List<RecordBody> recordsDue(long nowMs) {
    List<RecordBody> due = new ArrayList<>();
    if (view.self().isEmpty() && !hasJoined && !departure.isLeaving()) {
      if (proposals.tryPropose("join", nowMs)) {
        due.add(joinRecord());
      }
      due.addAll(detector.due(view, nowMs));
      return due;
    }
    due.addAll(detector.due(view, nowMs));
    settlement.acknowledgement(view, nowMs).ifPresent(due::add);
    settlement.reclaim(view, nowMs).ifPresent(due::add);
    if (view.isSeated() && !departure.isLeaving()) {
      claims.due(view.seatedCount(), view.rank() == 0, nowMs).ifPresent(due::add);
    }
    return due;
  }

  private RecordBody joinRecord() {
    return new MemberJoined(
        identity.memberId(), identity.instance(), identity.dataCentre(), identity.peerAddress());
  }

  private Optional<Refusal> recordBreach(Optional<Refusal> refusal) {
    refusal
        .filter(r -> r.code().outcome() == Outcome.BREACH && !breaches.contains(r))
        .ifPresent(breaches::add);
    return refusal;
  }

  private static List<MembershipEffect> toSendEffects(List<OutgoingMessage> outgoing) {
    List<MembershipEffect> effects = new ArrayList<>();
    outgoing.forEach(o -> effects.add(new MembershipEffect.Send(o.memberId(), o.message())));
    return effects;
  }

  /** Returns how long ago, in milliseconds, the state was known to include the log's tail. */
  public long freshnessAgeMs(long nowMs) {
    synchronized (lock) {
      return freshness.ageMs(nowMs);
    }
  }

  /** Returns how many units of a team this incarnation holds, locked ones included. */
  public long heldUnits(String team) {
    synchronized (lock) {
      return ledger.heldUnits(team);
    }
  }

  /** Returns how many units of a team are running. */
  public long runningUnits(String team) {
    synchronized (lock) {
      return ledger.runningUnits(team);
    }
  }
}
