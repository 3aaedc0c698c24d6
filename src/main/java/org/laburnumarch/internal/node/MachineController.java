package org.laburnumarch.internal.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.laburnumarch.internal.lead.OwnerRecord;
import org.laburnumarch.internal.lead.OwnerTenure;
import org.laburnumarch.internal.metrics.Meters;
import org.laburnumarch.internal.platform.MachineClient;
import org.laburnumarch.internal.platform.NodeSettings;
import org.laburnumarch.internal.platform.PlatformFailures;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.StoreClient.KeyedValue;
import org.laburnumarch.internal.platform.StoreRecords;
import org.laburnumarch.internal.pool.FleetPlan;
import org.laburnumarch.internal.pool.FleetPlanner;
import org.laburnumarch.internal.pool.Machine;
import org.laburnumarch.internal.pool.MachineOrder;
import org.laburnumarch.internal.pool.MachineOrderOutcome;
import org.laburnumarch.internal.pool.MaintenanceWave;
import org.laburnumarch.internal.schedule.Scheduler;
import org.laburnumarch.internal.schedule.WorkerLoad;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/** Plans moves and maintenance of instances and orders them. Used on one thread only. */
final class MachineController implements AutoCloseable {

  /** Time between two plans. */
  private static final long PLAN_EVERY_MS = 100;

  /** Time between two log lines with the sizes of the pools. */
  private static final long LOG_POOLS_EVERY_MS = 1_000;

  /** Least time between two requests for the list of instances. */
  private static final long LIST_EVERY_MS = 300;

  /** Least time between two requests for it that only concern workers that refuse connections. */
  private static final long LIST_REFUSED_EVERY_MS = 500;

  /**
   * Number of intervals between two writes to the registry for which it may list an ended worker;
   * the platform says three, and the list is read a little later.
   */
  private static final int REGISTRY_INTERVALS = 4;

  /** Low bits of a fencing token, which number the orders of one term. */
  private static final int ORDER_NUMBER_BITS = 20;

  private final MachineClient client;
  private final SuspendAwareClock clock;
  private final StoreClient store;
  private final OperatorWatch operators;
  private final Scheduler scheduler;
  private final OwnerTenure tenure;
  private final JobStore jobs;
  private final Meters meters;
  private final DemandState demandState;
  private final FleetPlanner planner;
  private final long registryWriteIntervalMs;
  private final Map<Long, Long> seenEpochMs = new HashMap<>();
  private final Map<Long, Set<String>> startedByEarlierOwners = new HashMap<>();
  private final Set<Long> reportedAsRunning = new HashSet<>();
  private final Set<Long> reportedAsCompleted = new HashSet<>();
  private final Set<Long> reportsInFlight = new HashSet<>();
  private final OrderGuard guard;
  private long lastPlanAtMs;
  private long poolsLoggedAtMs;
  private long listRequestedAtMs;
  private long nextToken;
  private boolean isListing;
  private boolean isClosed;

  MachineController(
      NodeSettings settings,
      MachineClient client,
      SuspendAwareClock clock,
      StoreClient store,
      OperatorWatch operators,
      Scheduler scheduler,
      OwnerTenure tenure,
      JobStore jobs,
      Optional<OwnerRecord> earlierOwner,
      Meters meters) {
    this.client = client;
    this.clock = clock;
    this.store = store;
    this.operators = operators;
    this.scheduler = scheduler;
    this.tenure = tenure;
    this.jobs = jobs;
    this.meters = meters;
    this.demandState = new DemandState(settings, jobs, clock, earlierOwner.isPresent(), meters);
    this.planner =
        new FleetPlanner(settings.moveMs(), settings.maintenanceMs(), demandState.forecaster());
    this.registryWriteIntervalMs = settings.registryWriteIntervalMs();
    this.guard = new OrderGuard(clock.nowMs(), earlierOwner);
    this.nextToken = tenure.term() << ORDER_NUMBER_BITS;
  }

  /** Restores the waves and the learnt demand that earlier owners have stored. */
  void restore(JobStore.Contents contents) {
    demandState.restore(contents.states());
    for (WaveRecord wave : contents.waves()) {
      seenEpochMs.put(wave.number(), wave.seenEpochMs());
      startedByEarlierOwners.put(wave.number(), wave.startedMachines());
    }
  }

  /** Records that the earlier owner has certainly stopped sending orders. */
  void onEarlierOwnerStopped() {
    guard.onEarlierOwnerStopped();
  }

  /** Returns how many instances a pool has or will have soon; empty if that is not known yet. */
  OptionalInt projectedSize(String pool) {
    return planner.projectedSize(pool);
  }

  void runRound(long nowMs) {
    OrderGuard.Permission permission = guard.permission(nowMs, tenure.renewalAgeMs(nowMs));
    if (isClosed || nowMs - lastPlanAtMs < PLAN_EVERY_MS) {
      return;
    }
    lastPlanAtMs = nowMs;
    if (permission == OrderGuard.Permission.NOTHING) {
      requestListIfRefused(nowMs);
      return;
    }
    addWaves(nowMs);
    List<WorkerLoad> loads = scheduler.workerLoads(nowMs);
    if (mayRequestList(LIST_EVERY_MS, nowMs) && planner.needsList(loads, nowMs)) {
      requestList(nowMs);
    }
    requestListIfRefused(nowMs);
    FleetPlan plan =
        planner.plan(
            operators.config(),
            scheduler.demands(nowMs, clock.epochMs()),
            loads,
            operators.outOfServiceDataCentres(),
            permission == OrderGuard.Permission.ALL,
            nowMs);
    scheduler.setCordonedWorkers(plan.cordoned());
    plan.drained().forEach(worker -> scheduler.drainLongRunningTasks(worker, nowMs));
    plan.orders().forEach(this::send);
    if (nowMs - poolsLoggedAtMs >= LOG_POOLS_EVERY_MS) {
      poolsLoggedAtMs = nowMs;
      Logger.info(
          "machines: event=pools {} {} {}",
          planner.describePools(),
          scheduler.describeDemands(),
          demandState.forecaster().describe(nowMs));
    }
    demandState.store(nowMs);
    reportWaves();
  }

  private void addWaves(long nowMs) {
    for (MaintenanceWave wave : operators.waves().values()) {
      long seenAgoMs = nowMs - operators.waveSeenAtMs(wave.number());
      Long knownEpochMs = seenEpochMs.get(wave.number());
      if (knownEpochMs == null) {
        seenEpochMs.put(wave.number(), clock.epochMs() - seenAgoMs);
        storeWave(wave.number());
      } else {
        seenAgoMs = Math.max(seenAgoMs, clock.epochMs() - knownEpochMs);
      }
      planner.addWave(
          wave, nowMs - seenAgoMs, startedByEarlierOwners.getOrDefault(wave.number(), Set.of()));
    }
  }

  private void storeWave(long wave) {
    jobs.storeWave(
        new WaveRecord(wave, seenEpochMs.getOrDefault(wave, 0L), planner.startedMachines(wave)));
  }

  /** Reads the list of instances if only that shows whether workers have ended. */
  private void requestListIfRefused(long nowMs) {
    if (mayRequestList(LIST_REFUSED_EVERY_MS, nowMs) && scheduler.needsInstanceList(nowMs)) {
      requestList(nowMs);
    }
  }

  private boolean mayRequestList(long minIntervalMs, long nowMs) {
    return !isListing && nowMs - listRequestedAtMs >= minIntervalMs;
  }

  private void requestList(long nowMs) {
    isListing = true;
    listRequestedAtMs = nowMs;
    client
        .list()
        .whenComplete(
            (machines, failure) -> {
              isListing = false;
              if (isClosed) {
                return;
              }
              if (failure == null) {
                planner.onList(machines, nowMs);
                scheduler.onInstancesListed(
                    machines.stream().map(Machine::workerId).collect(Collectors.toSet()), nowMs);
              } else {
                Logger.warn(
                    "machines: event=list-failed cause={}",
                    PlatformFailures.unwrap(failure).getMessage());
              }
            });
  }

  private void send(MachineOrder order) {
    // Each order gets a higher token, so that a delayed copy of an earlier order is refused when it
    // arrives after a repeated one.
    long token = nextToken++;
    var sent =
        order instanceof MachineOrder.Move move
            ? client.move(move.machine(), move.pool(), token)
            : client.startMaintenance(
                order.machine(), ((MachineOrder.Maintain) order).wave(), token);
    Optional<String> workerId = planner.workerId(order.machine());
    sent.thenAccept(outcome -> onOutcome(order, workerId, token, outcome));
  }

  private void onOutcome(
      MachineOrder order, Optional<String> workerId, long token, MachineOrderOutcome outcome) {
    if (isClosed) {
      return;
    }
    Logger.info("machines: event=order order={} token={} outcome={}", order, token, outcome);
    meters.count("instance_orders_total", order.getClass().getSimpleName() + ' ' + outcome);
    planner.onOutcome(order, outcome, clock.nowMs());
    if (outcome == MachineOrderOutcome.DONE) {
      long listedUntilMs = clock.nowMs() + REGISTRY_INTERVALS * registryWriteIntervalMs;
      workerId.ifPresent(id -> scheduler.onWorkerTerminated(id, listedUntilMs));
    }
    if (outcome == MachineOrderOutcome.DONE && order instanceof MachineOrder.Maintain maintain) {
      storeWave(maintain.wave());
    }
  }

  private void reportWaves() {
    for (long wave : operators.waves().keySet()) {
      boolean isCompleted = planner.isCompleted(wave);
      boolean needsReport =
          isCompleted ? !reportedAsCompleted.contains(wave) : !reportedAsRunning.contains(wave);
      if (needsReport && reportsInFlight.add(wave)) {
        publishWaveStatus(wave, isCompleted);
      }
    }
  }

  private void publishWaveStatus(long wave, boolean isCompleted) {
    store
        .append(
            StoreClient.MAINTENANCE_STATUS_LOG,
            List.of(
                new KeyedValue(
                    StoreRecords.WAVE_PREFIX + wave,
                    Optional.of(StoreRecords.encodeWaveStatus(isCompleted)))),
            OptionalLong.empty(),
            Optional.empty())
        .whenComplete(
            (result, failure) -> {
              reportsInFlight.remove(wave);
              if (failure == null) {
                (isCompleted ? reportedAsCompleted : reportedAsRunning).add(wave);
                Logger.info(
                    "machines: event=wave-status wave={} completed={} term={}",
                    wave,
                    isCompleted,
                    tenure.term());
              }
            });
  }

  /** Stops sending orders. */
  @Override
  public void close() {
    isClosed = true;
    client.close();
  }
}
