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
import org.laburnumarch.internal.membership.Effect;
import org.laburnumarch.internal.membership.MemberIdentity;
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
 * This daemon as a member of the fleet, over all its incarnations.
 *
 * <p>An expelled daemon goes on under a new member id without a restart of the process.
 */
final class Membership implements AutoCloseable {
  /** The port may still be held by a connection attempt of the system for a moment. */
  private static final long REJOIN_RETRY_MS = 500;

  private final CoreLoop core;
  private final ControlLog log;
  private final Alarms alarms;
  private final DaemonSettings settings;
  private final DaemonMetrics metrics;
  private final UniformRandomProvider random;
  private final CompletableFuture<Boolean> exit = new CompletableFuture<>();
  private final FaultReport listening;
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
    this.listening =
        new FaultReport(metrics.counter("member.failed.listens"), "member: Listening for peers");
    this.current = start();
  }

  private Incarnation start() {
    MemberIdentity identity =
        MemberIdentity.newIncarnation(
            settings.instance(),
            settings.dataCentre(),
            settings.advertisedPeerAddress().toString(),
            random);
    Logger.info("member: Starting as {} on {}.", identity.memberId(), settings.instance());
    Incarnation incarnation =
        new Incarnation(
            core,
            log,
            alarms,
            identity,
            random,
            listener -> listen(identity, listener),
            this::onLifecycle);
    log.actAs(identity.memberId());
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

  private void onLifecycle(Effect effect) {
    if (effect instanceof Effect.Rejoin) {
      rejoin();
    } else if (effect instanceof Effect.ReadyToExit ready) {
      exit.complete(ready.isClean());
    }
  }

  /** The transport is closed on another thread, since that may take longer than peers wait. */
  private void rejoin() {
    if (isRejoining) {
      return;
    }
    isRejoining = true;
    Logger.warn("member: This daemon was expelled; it joins again.");
    Incarnation expelled = current;
    expelled.end();
    Thread closer =
        new Thread(
            () -> {
              expelled.close();
              core.execute(this::startAgain);
            },
            "member-close");
    closer.setDaemon(true);
    closer.start();
  }

  private void startAgain() {
    synchronized (lock) {
      if (isClosed) {
        return;
      }
      try {
        current = start();
      } catch (IllegalStateException e) {
        listening.failed(e);
        core.schedule(REJOIN_RETRY_MS, this::startAgain);
        return;
      }
    }
    listening.succeeded();
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

  /** Takes over a newer state; on the core loop. */
  void onState(ControlState state) {
    current.onState(state);
  }

  /** Takes the time at which the log's tail was reached; on the core loop. */
  void onTailConfirmed(long sentAtMs) {
    current.decisions().onTailConfirmed(sentAtMs);
  }

  /** Takes the platform's list; on the core loop. */
  void onInstances(List<ListedInstance> instances) {
    Set<String> ids = instances.stream().map(ListedInstance::id).collect(Collectors.toSet());
    current.decisions().onInstanceList(ids, core.nowMs());
  }

  /** Sets the demand that the next reports carry; on the core loop. */
  void onDemand(List<PoolDemand> demand) {
    ownDemand = demand;
    current.decisions().onDemand(demand);
  }

  /**
   * Returns the demand of each member as last reported, the own one included. A member that has
   * gone silent counts without demand, so that its slots go to the others before it is expelled.
   */
  Map<String, List<PoolDemand>> demandReports() {
    long nowMs = core.nowMs();
    Map<String, List<PoolDemand>> demand = new HashMap<>();
    reports()
        .forEach(
            (member, heard) -> {
              if (heard.isRecent(nowMs)) {
                demand.put(member, heard.report().demand());
              }
            });
    demand.put(memberId(), ownDemand);
    return demand;
  }

  /** Returns the age of the state's freshness in milliseconds; -1 if it never was fresh. */
  long freshnessAgeMs() {
    long ageMs = current.decisions().freshnessAgeMs(core.nowMs());
    return ageMs < Report.NEVER_FRESH_MS ? ageMs : -1;
  }

  /** Returns the newest report of each peer. */
  Map<String, HeardReport> reports() {
    return current.reports();
  }

  /** Begins a graceful leave; completes with whether it was clean. */
  CompletionStage<Boolean> leave() {
    core.execute(() -> current.decisions().beginLeave(core.nowMs()));
    return exit;
  }

  @Override
  public void close() {
    synchronized (lock) {
      isClosed = true;
    }
    current.close();
  }
}
