package org.laburnumarch.internal.daemon;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.laburnumarch.internal.membership.MemberIdentity;
import org.laburnumarch.internal.membership.MembershipEffect;
import org.laburnumarch.internal.peer.PeerIdentity;
import org.laburnumarch.internal.peer.PeerLimits;
import org.laburnumarch.internal.peer.PeerListener;
import org.laburnumarch.internal.peer.PeerMessage.PoolDemand;
import org.laburnumarch.internal.peer.PeerMessage.Report;
import org.laburnumarch.internal.peer.PeerSecret;
import org.laburnumarch.internal.peer.PeerTransport;
import org.laburnumarch.internal.settings.DaemonSettings;
import org.laburnumarch.internal.settings.HostPort;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.MemberEntry;
import org.laburnumarch.spi.ListedInstance;
import org.tinylog.Logger;

/**
 * This daemon's membership in the fleet across all its incarnations.
 *
 * <p>An expelled daemon rejoins under a new member id without a restart of the process.
 */
final class Membership implements AutoCloseable {
  /**
   * Pause between attempts to listen again; an outgoing connection of this host may use the port
   * for a moment.
   */
  private static final long REJOIN_RETRY_MS = 500;

  private final CoreLoop core;
  private final ControlLog log;
  private final Alarms alarms;
  private final DaemonSettings settings;
  private final DaemonMetrics metrics;
  private final UniformRandomProvider random;
  private final CompletableFuture<Boolean> exitResult = new CompletableFuture<>();
  private final FaultTracker listenFaults;
  private final Object lock = new Object();
  private boolean isRejoining;
  private boolean isClosed;
  private volatile Incarnation current;
  private volatile List<PoolDemand> ownDemand = List.of();

  Membership(
      CoreLoop core,
      ControlLog log,
      Alarms alarms,
      DaemonSettings settings,
      DaemonMetrics metrics,
      UniformRandomProvider random) {
    this.core = core;
    this.log = log;
    this.alarms = alarms;
    this.settings = settings;
    this.metrics = metrics;
    this.random = random;
    this.listenFaults =
        new FaultTracker(metrics.counter("member.failed.listens"), "member: Listening for peers");
    this.current = startIncarnation();
  }

  private Incarnation startIncarnation() {
    MemberIdentity identity =
        MemberIdentity.newIncarnation(
            settings.instance(),
            settings.dataCentre(),
            settings.advertisedPeerAddress().toString(),
            random);
    Logger.info(
        "member: Starting as member {} on instance {}.", identity.memberId(), settings.instance());
    Incarnation incarnation =
        new Incarnation(
            core,
            log,
            alarms,
            identity,
            random,
            listener -> listen(identity, listener),
            this::onLifecycle);
    log.setMemberId(identity.memberId());
    return incarnation;
  }

  private PeerTransport listen(MemberIdentity identity, PeerListener listener) {
    PeerTransport transport =
        PeerTransport.listen(
            new PeerIdentity(identity.memberId(), identity.instance()),
            PeerSecret.of(settings.fleetSecret().bytes()),
            settings.peerListenAddress().toSocketAddress(),
            PeerLimits.DEFAULTS,
            listener,
            metrics.registry(),
            core::nowMs,
            random);
    transport.setSeeds(settings.seedPeerAddresses().stream().map(HostPort::toString).toList());
    return transport;
  }

  private void onLifecycle(MembershipEffect effect) {
    if (effect instanceof MembershipEffect.Rejoin) {
      rejoin();
    } else if (effect instanceof MembershipEffect.ReadyToExit ready) {
      exitResult.complete(ready.isClean());
    }
  }

  /** Closes the transport on another thread, since that may take longer than peers wait. */
  private void rejoin() {
    if (isRejoining) {
      return;
    }
    isRejoining = true;
    Logger.warn("member: This daemon was expelled and rejoins under a new member id.");
    Incarnation expelled = current;
    expelled.deactivate();
    Thread closer =
        new Thread(
            () -> {
              expelled.close();
              core.execute(this::startNextIncarnation);
            },
            "member-close");
    closer.setDaemon(true);
    closer.start();
  }

  private void startNextIncarnation() {
    synchronized (lock) {
      if (isClosed) {
        return;
      }
      try {
        current = startIncarnation();
      } catch (IllegalStateException e) {
        listenFaults.onFailure(e);
        core.schedule(REJOIN_RETRY_MS, this::startNextIncarnation);
        return;
      }
    }
    listenFaults.onSuccess();
    isRejoining = false;
    current.onState(log.state());
  }

  Incarnation current() {
    return current;
  }

  String memberId() {
    return current.memberId();
  }

  /** Returns this daemon's entry in the member table; empty before it has joined. */
  Optional<MemberEntry> entry() {
    return log.state().members().get(memberId()).toJavaOptional();
  }

  int seat() {
    return entry().filter(MemberEntry::isActive).map(MemberEntry::seat).orElse(MemberEntry.NO_SEAT);
  }

  /** Applies a newer state; on the core loop. */
  void onState(ControlState state) {
    current.onState(state);
  }

  /**
   * Records that a read has reached the log's tail; on the core loop.
   *
   * @param sentAtMs when the read was sent
   */
  void onTailConfirmed(long sentAtMs) {
    current.decisions().onTailConfirmed(sentAtMs);
  }

  /** Applies the platform's instance list; on the core loop. */
  void onInstances(List<ListedInstance> instances) {
    Set<String> ids = instances.stream().map(ListedInstance::id).collect(Collectors.toSet());
    current.decisions().onInstanceList(ids, core.nowMs());
  }

  /** Sets the demand to send with the next reports; on the core loop. */
  void onDemand(List<PoolDemand> demand) {
    ownDemand = demand;
    current.decisions().onDemand(demand);
  }

  /**
   * Returns the last reported demand of each member, including this daemon's own. Members without a
   * recent report are left out, so that their slots go to the others before they are expelled.
   */
  Map<String, List<PoolDemand>> demandReports() {
    long nowMs = core.nowMs();
    Map<String, List<PoolDemand>> demand = new HashMap<>();
    reports()
        .forEach(
            (member, received) -> {
              if (received.isRecent(nowMs)) {
                demand.put(member, received.report().demand());
              }
            });
    demand.put(memberId(), ownDemand);
    return demand;
  }

  /**
   * Returns the time since the state was last known to be fresh, in milliseconds; -1 if it never
   * was.
   */
  long freshnessAgeMs() {
    long ageMs = current.decisions().freshnessAgeMs(core.nowMs());
    return ageMs < Report.NEVER_FRESH_MS ? ageMs : -1;
  }

  /** Returns the newest report of each peer. */
  Map<String, ReceivedReport> reports() {
    return current.reports();
  }

  /** Begins a graceful leave; completes with whether it was clean. */
  CompletionStage<Boolean> leave() {
    core.execute(() -> current.decisions().beginLeave(core.nowMs()));
    return exitResult;
  }

  @Override
  public void close() {
    synchronized (lock) {
      isClosed = true;
    }
    current.close();
  }
}
