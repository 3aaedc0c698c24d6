package org.laburnumarch.internal.daemon;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.laburnumarch.internal.entry.EntryEnvironment;
import org.laburnumarch.internal.entry.EntryServer;
import org.laburnumarch.internal.entry.EntrySettings;
import org.laburnumarch.internal.fleet.InstanceProposals;
import org.laburnumarch.internal.http.HttpInstanceList;
import org.laburnumarch.internal.http.HttpPlatformLog;
import org.laburnumarch.internal.http.HttpPoolControl;
import org.laburnumarch.internal.log.LogFollower;
import org.laburnumarch.internal.operator.OperatorHandler;
import org.laburnumarch.internal.operator.OperatorTokens;
import org.laburnumarch.internal.settings.DaemonSettings;
import org.laburnumarch.internal.settings.HostPort;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.MemberEntry;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.SnapshotCodec;
import org.laburnumarch.internal.text.FleetTextChecker;
import org.laburnumarch.internal.text.TextChecker;
import org.laburnumarch.internal.time.MonotonicClock;
import org.laburnumarch.spi.ListedInstance;
import org.tinylog.Logger;

/** A running daemon: creates its parts, starts their periodic tasks, and stops and closes them. */
public final class Daemon implements AutoCloseable {
  private static final String CONTROL_STREAM = "control";
  private static final long TICK_INTERVAL_MS = 50;
  private static final long DEMAND_INTERVAL_MS = 500;
  private static final long FLEET_TICK_INTERVAL_MS = 200;

  /**
   * Assumed retention of the platform's log, shorter than any real one. It only determines how
   * often snapshots are taken.
   */
  private static final long ASSUMED_LOG_RETENTION_MS = 24 * 60 * 60 * 1_000L;

  /**
   * Part of the shutdown bound that is reserved for transferring allowance to peers and for
   * recording the departure in the log.
   */
  private static final long LEAVE_RESERVE_MS = 3_000;

  private final DaemonSettings settings;
  private final MonotonicClock clock = MonotonicClock.system();
  private final Deque<AutoCloseable> openResources = new ArrayDeque<>();
  private final DaemonMetrics metrics = new DaemonMetrics();
  private final InForceWatch inForce = new InForceWatch();
  private final InstanceProposals instanceProposals = new InstanceProposals();
  private CoreLoop core;
  private ControlLog log;
  private Membership membership;
  private FleetActionRunner fleet;
  private InstancePoller instances;
  private volatile EntryServer entry;

  private Daemon(DaemonSettings settings) {
    this.settings = settings;
  }

  private void open() throws Exception {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    TextChecker checker = new FleetTextChecker();
    core = closeLater(new CoreLoop(clock));
    HttpPlatformLog platformLog =
        closeLater(new HttpPlatformLog(settings.logAddress().toSocketAddress(), CONTROL_STREAM));
    HttpInstanceList platformInstances =
        closeLater(new HttpInstanceList(settings.instanceListAddress().toSocketAddress()));
    Alarms alarms = new Alarms(metrics);
    log =
        new ControlLog(
            core,
            platformLog,
            new LogFollower(checker, settings.instance(), ASSUMED_LOG_RETENTION_MS),
            closeLater(new StateEncoder(new SnapshotCodec(checker))),
            metrics,
            alarms,
            this::onState,
            this::onTailConfirmed);
    membership = closeLater(new Membership(core, log, alarms, settings, metrics, random));
    HttpPoolControl platformPools =
        closeLater(new HttpPoolControl(settings.instanceListAddress().toSocketAddress()));
    fleet = new FleetActionRunner(core, log, platformPools, membership::memberId);
    instances = new InstancePoller(core, platformInstances, metrics, this::onInstances);
    entry =
        closeLater(
            EntryServer.start(
                entrySettings(), environment(), closeLater(operators()), metrics.registry()));
    registerGauges();
  }

  private <T extends AutoCloseable> T closeLater(T resource) {
    openResources.push(resource);
    return resource;
  }

  private void registerGauges() {
    metrics.gauge("control.next.offset.records", () -> log.state().nextOffset());
    metrics.gauge("control.text.version.count", () -> log.state().textVersion());
    metrics.gauge("control.freshness.age.milliseconds", membership::freshnessAgeMs);
    metrics.gauge("member.active.count", () -> countMembers(MemberEntry::isActive));
    metrics.gauge("member.counting.count", () -> countMembers(MemberEntry::isCounting));
    metrics.gauge("member.seat.number", membership::seat);
  }

  private long countMembers(Predicate<MemberEntry> condition) {
    return log.state().members().values().count(condition);
  }

  /**
   * Starts a daemon.
   *
   * @throws Exception if one of its addresses cannot be bound
   */
  public static Daemon start(DaemonSettings settings) throws Exception {
    Daemon daemon = new Daemon(settings);
    try {
      daemon.open();
      daemon.run();
      return daemon;
    } catch (Exception e) {
      daemon.close();
      throw e;
    }
  }

  private void run() {
    core.execute(instances::poll);
    core.repeat(TICK_INTERVAL_MS, this::tick);
    core.repeat(FLEET_TICK_INTERVAL_MS, fleet::tick);
    core.repeat(DEMAND_INTERVAL_MS, () -> membership.onDemand(entry.demand()));
    Logger.info("daemon: Running as instance {}.", settings.instance());
  }

  private EntrySettings entrySettings() {
    HostPort address = settings.callerListenAddress();
    return EntrySettings.of(address.ipAddress(), address.port());
  }

  private EntryEnvironment environment() {
    return new EntryEnvironment(
        log::state,
        new MemberGate(membership, clock, core),
        instances::lastList,
        membership::demandReports,
        membership::memberId,
        membership::seat,
        clock,
        System::currentTimeMillis);
  }

  private OperatorEndpoint operators() {
    return new OperatorEndpoint(
        new OperatorHandler(
            new DaemonOperatorBackend(core, log, membership, inForce, this::isReady),
            new OperatorTokens(settings.operatorTokenDigests())));
  }

  private boolean isReady() {
    return entry != null && entry.isReady();
  }

  private void tick() {
    log.tick();
    membership.current().tick();
    inForce.tick(log.state(), membership.memberId(), membership.reports(), clock.nowMs());
    inForce.awaitedOffset().ifPresent(membership.current()::pingMembersBehind);
  }

  private void onState(ControlState state) {
    membership.onState(state);
  }

  private void onTailConfirmed(long sentAtMs) {
    membership.onTailConfirmed(sentAtMs);
  }

  private void onInstances(List<ListedInstance> listed) {
    membership.onInstances(listed);
    fleet.onInstances(listed);
    List<RecordBody> due =
        instanceProposals.onList(listed, log.state(), membership.memberId(), core.nowMs());
    due.forEach(body -> log.append(membership.memberId(), body));
  }

  /** Returns the port for callers and operators. */
  public int callerPort() {
    return entry.port();
  }

  /**
   * Stops gracefully: refuses new and queued work, waits for dispatched work to end, transfers
   * allowance to peers and leaves the fleet. Completes with whether all of this ended within the
   * shutdown bound of the settings.
   */
  public CompletionStage<Boolean> stop() {
    long deadlineMs = clock.nowMs() + settings.shutdownTimeoutMs();
    Logger.info("daemon: Stopping; new work is refused.");
    entry.beginDrain();
    return entry
        .awaitDrained(deadlineMs - LEAVE_RESERVE_MS)
        .thenCompose(
            isDrained -> membership.leave().thenApply(isCleanLeave -> isDrained && isCleanLeave));
  }

  /** Closes all resources in the reverse order of opening; also called after a failed start. */
  @Override
  public void close() {
    while (!openResources.isEmpty()) {
      closeQuietly(openResources.pop());
    }
  }

  private static void closeQuietly(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      Logger.debug(
          "daemon: {} could not be closed: {}",
          resource.getClass().getSimpleName(),
          e.getMessage());
    }
  }
}
