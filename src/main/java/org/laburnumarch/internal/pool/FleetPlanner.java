package org.laburnumarch.internal.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.laburnumarch.internal.forecast.PoolForecaster;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.ServiceConfig;
import org.laburnumarch.internal.schedule.WorkerLoad;

/**
 * Decides which instances to move between pools and which to take into maintenance. An instance is
 * first cordoned and drained; the order is issued once nothing runs on it. Not thread-safe; no I/O.
 *
 * <p>Maintenance waves take idle instances first, and busy ones only as fast as the wave's deadline
 * requires. Instances also move to pools whose demand exceeds their size; pools with more instances
 * than they need return them to the spare pool.
 */
public final class FleetPlanner {

  /** Factor applied to the estimated need for short tasks when a pool is sized. */
  private static final double HEADROOM_FACTOR = 1.2;

  /** Time for which a pool must have a surplus before it returns instances to the spare pool. */
  private static final long SURPLUS_DELAY_MS = 800;

  /** Time before a wave's deadline by which its last maintenance should have started. */
  private static final long WAVE_MARGIN_MS = 3_500;

  /** Estimated time to drain an instance and to maintain it. */
  private static final long DRAIN_AND_MAINTENANCE_MS = 4_500;

  /** Pause before an order is repeated. */
  private static final long RETRY_MS = 250;

  /**
   * Margin on top of the duration of a move or maintenance. If a list requested after that shows
   * the instance as up, the operation is over or has had no effect.
   */
  private static final long COMPLETION_MARGIN_MS = 700;

  /** Longest time to drain an instance for a move before the move is planned anew. */
  private static final long MOVE_DRAIN_TIMEOUT_MS = 2_500;

  /**
   * Time for which an instance without short runs may keep its place in a wave while no
   * long-running task leaves it, for example because these find no room elsewhere.
   */
  private static final long STUCK_MAINTENANCE_MS = 2_500;

  /** A move or a maintenance of an instance that is planned or ordered. */
  private static final class PendingOperation {
    private final Optional<Long> wave;
    private final String pool;
    private final long sinceMs;
    private boolean isOrdered;
    private long notBeforeMs;

    /** Local time until which runs left its instance, or it could take the order. */
    private long progressedAtMs;

    /** Least number of long-running runs that its instance has had. */
    private int longRunningRuns = Integer.MAX_VALUE;

    PendingOperation(Optional<Long> wave, String pool, long nowMs) {
      this.wave = wave;
      this.pool = pool;
      this.sinceMs = nowMs;
      this.progressedAtMs = nowMs;
    }

    boolean isMaintenance() {
      return wave.isPresent();
    }

    /**
     * Returns whether its instance has short runs to end, or fewer long-running ones than before.
     */
    boolean isDraining(WorkerLoad load) {
      boolean hasLost = load.longRunningRuns() < longRunningRuns;
      longRunningRuns = Math.min(longRunningRuns, load.longRunningRuns());
      return hasLost || load.shortRuns() > 0;
    }

    /** Returns whether an order may have been carried out; one without a response may have been. */
    boolean wasOrdered() {
      return isOrdered || notBeforeMs > 0;
    }
  }

  /**
   * A maintenance wave, the local time of its deadline, and its instances whose maintenance has
   * started.
   */
  private static final class WaveProgress {
    private final MaintenanceWave wave;
    private final long dueAtMs;
    private final Set<String> startedMachines = new HashSet<>();

    WaveProgress(MaintenanceWave wave, long dueAtMs) {
      this.wave = wave;
      this.dueAtMs = dueAtMs;
    }
  }

  private final long moveMs;
  private final long maintenanceMs;
  private final PoolForecaster forecaster;
  private final Map<Long, WaveProgress> waves = new LinkedHashMap<>();
  private final Map<String, PendingOperation> pendingOperations = new LinkedHashMap<>();

  /** Instances whose move or maintenance has been accepted and is not known to be over. */
  private final Map<String, Unavailability> unavailable = new HashMap<>();

  /** When instances last gave up their place in a wave; the others go first. */
  private final Map<String, Long> maintenanceGivenUpAtMs = new HashMap<>();

  private final GangTurns gangTurns = new GangTurns();
  private final Map<String, Long> surplusSinceMs = new HashMap<>();
  private final Set<String> impossibleOrders = new HashSet<>();
  private Map<String, Machine> machines = Map.of();
  private String poolSizes = "";

  /**
   * Why and for how long an instance is unavailable.
   *
   * @param untilMs local time until which it is unavailable at least
   * @param wave the maintenance wave; empty for a move
   * @param pool the pool to which it belongs afterwards
   */
  private record Unavailability(long untilMs, Optional<Long> wave, String pool) {}

  /**
   * Creates a planner.
   *
   * @param moveMs time that a move takes
   * @param maintenanceMs time that maintenance takes
   * @param forecaster decides how many instances pools hold, and receives what they want
   */
  public FleetPlanner(long moveMs, long maintenanceMs, PoolForecaster forecaster) {
    this.moveMs = moveMs;
    this.maintenanceMs = maintenanceMs;
    this.forecaster = forecaster;
  }

  /**
   * Adds a wave. If it is known already, only the started instances are merged.
   *
   * @param seenAtMs local time at which an owner first saw the wave; its deadline counts from there
   * @param startedMachines names of the instances whose maintenance has started
   */
  public void addWave(MaintenanceWave wave, long seenAtMs, Set<String> startedMachines) {
    WaveProgress progress =
        waves.computeIfAbsent(
            wave.number(), number -> new WaveProgress(wave, seenAtMs + wave.dueMs()));
    progress.startedMachines.addAll(startedMachines);
  }

  /** Returns the wanted and the projected sizes of all pools, for the log. */
  public String describePools() {
    return poolSizes;
  }

  /** Returns the id of the worker on an instance as last listed; empty if there is none. */
  public Optional<String> workerId(String machine) {
    return Optional.ofNullable(machines.get(machine))
        .map(Machine::workerId)
        .filter(id -> !id.isEmpty());
  }

  /** Returns the instances of a wave whose maintenance has started. */
  public Set<String> startedMachines(long wave) {
    WaveProgress progress = waves.get(wave);
    return progress == null ? Set.of() : Set.copyOf(progress.startedMachines);
  }

  /**
   * Returns whether maintenance has started on all instances of a wave. Instances that are no
   * longer listed don't count.
   */
  public boolean isCompleted(long wave) {
    WaveProgress progress = waves.get(wave);
    return progress != null
        && !machines.isEmpty()
        && progress.wave.machines().stream()
            .allMatch(
                name -> progress.startedMachines.contains(name) || !machines.containsKey(name));
  }

  /**
   * Replaces the known instances by a new list.
   *
   * @param requestedAtMs local time at which the list was requested
   */
  public void onList(Collection<Machine> listed, long requestedAtMs) {
    Map<String, Machine> byName = new LinkedHashMap<>();
    listed.forEach(machine -> byName.put(machine.name(), machine));
    machines = byName;
    unavailable
        .entrySet()
        .removeIf(
            entry -> {
              Machine machine = byName.get(entry.getKey());
              return requestedAtMs > entry.getValue().untilMs()
                  && (machine == null || machine.state() == Machine.State.UP);
            });
    pendingOperations.keySet().removeIf(name -> !byName.containsKey(name));
  }

  /** Returns whether the list of instances should be requested again. */
  public boolean needsList(Collection<WorkerLoad> loads, long nowMs) {
    if (machines.isEmpty()
        || unavailable.values().stream().anyMatch(it -> it.untilMs() < nowMs)
        || machines.values().stream().anyMatch(it -> it.state() != Machine.State.UP)) {
      return true;
    }
    Set<String> known = new HashSet<>();
    machines.values().forEach(machine -> known.add(machine.workerId()));
    return loads.stream().anyMatch(load -> !known.contains(load.workerId()));
  }

  /**
   * Updates the pending operation and the availability of the order's instance. Refused orders and
   * orders without a response are repeated; impossible and fenced ones are not.
   */
  public void onOutcome(MachineOrder order, MachineOrderOutcome outcome, long nowMs) {
    PendingOperation operation = pendingOperations.get(order.machine());
    switch (outcome) {
      case DONE -> {
        pendingOperations.remove(order.machine());
        if (order instanceof MachineOrder.Maintain maintain) {
          Optional.ofNullable(waves.get(maintain.wave()))
              .ifPresent(progress -> progress.startedMachines.add(order.machine()));
          unavailable.put(
              order.machine(),
              new Unavailability(
                  nowMs + maintenanceMs + COMPLETION_MARGIN_MS,
                  Optional.of(maintain.wave()),
                  poolOf(order.machine())));
        } else if (order instanceof MachineOrder.Move move) {
          unavailable.put(
              order.machine(),
              new Unavailability(
                  nowMs + moveMs + COMPLETION_MARGIN_MS, Optional.empty(), move.pool()));
        }
      }
      case IMPOSSIBLE, FENCED -> {
        pendingOperations.remove(order.machine());
        impossibleOrders.add(orderKey(order));
      }
      case REFUSED, UNKNOWN -> {
        if (operation != null) {
          operation.isOrdered = false;
          operation.notBeforeMs = nowMs + RETRY_MS;
        }
      }
    }
  }

  private static String orderKey(MachineOrder order) {
    return order instanceof MachineOrder.Move move
        ? move.machine() + "->" + move.pool()
        : order.toString();
  }

  private String poolOf(String machine) {
    return Optional.ofNullable(machines.get(machine)).map(Machine::pool).orElse("");
  }

  /**
   * Plans operations and returns the orders that can be issued now.
   *
   * @param mayMaintain whether maintenance may be planned and ordered; moves always are
   */
  public FleetPlan plan(
      FleetConfig config,
      Map<String, PoolDemand> demands,
      Collection<WorkerLoad> loads,
      Set<String> outOfServiceDataCentres,
      boolean mayMaintain,
      long nowMs) {
    Map<String, WorkerLoad> loadsById = new HashMap<>();
    loads.forEach(load -> loadsById.put(load.workerId(), load));
    if (mayMaintain) {
      planMaintenance(config, demands, loadsById, outOfServiceDataCentres, nowMs);
    }
    giveUpSlowMoves(nowMs);
    planMoves(config, demands, loadsById, outOfServiceDataCentres, nowMs);
    return buildPlan(config, loadsById, nowMs);
  }

  /**
   * Returns whether nothing runs on an instance: no worker is on it, or it is in the spare pool.
   */
  private static boolean isWithoutWorker(Machine machine, FleetConfig config) {
    return machine.workerId().isEmpty()
        || config.service(machine.pool()).map(ServiceConfig::isSpare).orElse(false);
  }

  /** Returns whether an instance can be moved or maintained now without ending any run. */
  private static boolean isDrained(
      Machine machine, FleetConfig config, Map<String, WorkerLoad> loads) {
    WorkerLoad load = loads.get(machine.workerId());
    boolean isEmpty =
        load == null ? isWithoutWorker(machine, config) : load.isEmpty() && load.isUsable();
    return isEmpty && machine.state() == Machine.State.UP;
  }

  /** Gives the places in waves of instances that cannot be drained to others. */
  private void giveUpStuckMaintenance(
      FleetConfig config, Map<String, WorkerLoad> loads, long nowMs) {
    Iterator<Map.Entry<String, PendingOperation>> operations =
        pendingOperations.entrySet().iterator();
    while (operations.hasNext()) {
      Map.Entry<String, PendingOperation> entry = operations.next();
      PendingOperation operation = entry.getValue();
      Machine machine = machines.get(entry.getKey());
      if (machine == null || !operation.isMaintenance() || operation.wasOrdered()) {
        continue;
      }
      WorkerLoad load = loads.get(machine.workerId());
      if (isDrained(machine, config, loads) || (load != null && operation.isDraining(load))) {
        operation.progressedAtMs = nowMs;
      } else if (nowMs - operation.progressedAtMs > STUCK_MAINTENANCE_MS) {
        operations.remove();
        maintenanceGivenUpAtMs.put(machine.name(), nowMs);
      }
    }
  }

  /**
   * Gives up moves that take long, before others are planned: an instance that is chosen again must
   * stay cordoned, or new runs start there each time.
   */
  private void giveUpSlowMoves(long nowMs) {
    pendingOperations
        .entrySet()
        .removeIf(
            entry ->
                !entry.getValue().isMaintenance()
                    && !entry.getValue().isOrdered
                    && nowMs - entry.getValue().sinceMs > MOVE_DRAIN_TIMEOUT_MS);
  }

  private FleetPlan buildPlan(FleetConfig config, Map<String, WorkerLoad> loads, long nowMs) {
    List<MachineOrder> orders = new ArrayList<>();
    Set<String> cordoned = new HashSet<>();
    Set<String> drained = new HashSet<>();
    for (Map.Entry<String, PendingOperation> entry : pendingOperations.entrySet()) {
      Machine machine = machines.get(entry.getKey());
      PendingOperation operation = entry.getValue();
      if (machine == null) {
        continue;
      }
      WorkerLoad load = loads.get(machine.workerId());
      if (load != null) {
        cordoned.add(load.workerId());
        drained.add(load.workerId());
      }
      if (isDrained(machine, config, loads)
          && !operation.isOrdered
          && operation.notBeforeMs <= nowMs) {
        operation.isOrdered = true;
        orders.add(
            operation.isMaintenance()
                ? new MachineOrder.Maintain(machine.name(), operation.wave.orElseThrow())
                : new MachineOrder.Move(machine.name(), operation.pool));
      }
    }
    return new FleetPlan(orders, cordoned, drained);
  }

  private void planMaintenance(
      FleetConfig config,
      Map<String, PoolDemand> demands,
      Map<String, WorkerLoad> loads,
      Set<String> outOfServiceDataCentres,
      long nowMs) {
    Predicate<Machine> isNeeded =
        machine -> isNeededByLongRunningTasks(machine, demands, loads, outOfServiceDataCentres);
    pendingOperations
        .entrySet()
        .removeIf(
            entry ->
                entry.getValue().isMaintenance()
                    && !entry.getValue().isOrdered
                    && isNeeded.test(machines.get(entry.getKey())));
    giveUpStuckMaintenance(config, loads, nowMs);
    for (WaveProgress progress : waves.values()) {
      List<Machine> remaining = new ArrayList<>();
      int inProgress = 0;
      for (String name : progress.wave.machines()) {
        Machine machine = machines.get(name);
        PendingOperation operation = pendingOperations.get(name);
        Unavailability unavailability = unavailable.get(name);
        if ((operation != null && operation.wave.equals(Optional.of(progress.wave.number())))
            || (unavailability != null
                && unavailability.wave().equals(Optional.of(progress.wave.number())))) {
          inProgress++;
        } else if (machine != null && machine.state() == Machine.State.MAINTENANCE) {
          // An earlier owner ordered this maintenance.
          progress.startedMachines.add(name);
          inProgress++;
        } else if (machine != null
            && unavailability == null
            && operation == null
            && machine.state() == Machine.State.UP
            && !progress.startedMachines.contains(name)
            && !impossibleOrders.contains(
                orderKey(new MachineOrder.Maintain(name, progress.wave.number())))) {
          remaining.add(machine);
        }
      }
      chooseForMaintenance(
          progress, remaining, inProgress, config, demands, loads, isNeeded, nowMs);
    }
  }

  private void chooseForMaintenance(
      WaveProgress progress,
      List<Machine> remaining,
      int inProgress,
      FleetConfig config,
      Map<String, PoolDemand> demands,
      Map<String, WorkerLoad> loads,
      Predicate<Machine> isNeeded,
      long nowMs) {
    long remainingTimeMs = Math.max(1, progress.dueAtMs - WAVE_MARGIN_MS - nowMs);
    int needed =
        (int)
            Math.min(
                progress.wave.atOnce(),
                Math.ceil(
                    (double) (remaining.size() + inProgress)
                        * DRAIN_AND_MAINTENANCE_MS
                        / remainingTimeMs));
    remaining.sort(
        Comparator.comparingLong(
                (Machine machine) ->
                    maintenanceGivenUpAtMs.getOrDefault(machine.name(), Long.MIN_VALUE))
            .thenComparingDouble(
                machine -> InstanceCosts.disruption(machine, config, demands, loads)));
    int freeSlots = progress.wave.atOnce() - inProgress;
    int usedSlots = inProgress;
    for (Machine machine : remaining) {
      if (freeSlots <= 0) {
        return;
      }
      boolean hasLowDisruption = InstanceCosts.disruption(machine, config, demands, loads) < 1;
      if ((hasLowDisruption || usedSlots < needed) && !isNeeded.test(machine)) {
        pendingOperations.put(
            machine.name(),
            new PendingOperation(Optional.of(progress.wave.number()), machine.pool(), nowMs));
        freeSlots--;
        usedSlots++;
      }
    }
  }

  /**
   * Returns whether long-running tasks of a pool could start nowhere if an instance were cordoned.
   * They may end at any time, and cannot leave an instance either while no other one takes them.
   */
  private boolean isNeededByLongRunningTasks(
      Machine machine,
      Map<String, PoolDemand> demands,
      Map<String, WorkerLoad> loads,
      Set<String> outOfServiceDataCentres) {
    if (machine == null
        || !loads.containsKey(machine.workerId())
        || outOfServiceDataCentres.contains(machine.dataCentre())) {
      return false;
    }
    boolean hasLongRunningTasks =
        demands.getOrDefault(machine.pool(), PoolDemand.NONE).minWorkers() > 0;
    return hasLongRunningTasks
        && machines.values().stream()
            .filter(other -> !other.equals(machine) && other.pool().equals(machine.pool()))
            .filter(other -> !outOfServiceDataCentres.contains(other.dataCentre()))
            .noneMatch(other -> isAvailable(other) && isUsable(other, loads));
  }

  private static boolean isUsable(Machine machine, Map<String, WorkerLoad> loads) {
    WorkerLoad load = loads.get(machine.workerId());
    return load != null && load.isUsable();
  }

  private void planMoves(
      FleetConfig config,
      Map<String, PoolDemand> demands,
      Map<String, WorkerLoad> loads,
      Set<String> outOfServiceDataCentres,
      long nowMs) {
    Optional<String> spare =
        config.services().values().stream()
            .filter(ServiceConfig::isSpare)
            .map(ServiceConfig::name)
            .findFirst();
    if (spare.isEmpty() || machines.isEmpty()) {
      return;
    }
    PoolSizes sizes =
        new PoolSizes(
            projectedSizes(outOfServiceDataCentres), usableSizes(loads, outOfServiceDataCentres));
    Map<String, Integer> wanted = new TreeMap<>();
    Map<String, PoolNeed> needs = new TreeMap<>();
    List<String> poolsWithTurn =
        gangTurns.choose(claims(config, demands, sizes), sizes.total(), nowMs);
    for (ServiceConfig service : config.services().values()) {
      if (!service.isSpare()) {
        String pool = service.name();
        PoolDemand demand = demands.getOrDefault(pool, PoolDemand.NONE);
        int gang = poolsWithTurn.contains(pool) ? demand.gangWorkers() : 0;
        int size = Math.min(wantedSize(pool, demand, gang), sizes.total());
        wanted.put(pool, size);
        needs.put(
            pool,
            new PoolNeed(
                leastSize(pool, demand),
                (int)
                    Math.ceil(
                        Math.max(gang, demand.runnableWorkers()) + demand.longRunningWorkers()),
                forecaster.update(
                    pool, size, demand.batchWorkers() > 0, sizes.present(pool), nowMs)));
      }
    }
    cancelMovesOfNeededInstances(needs, sizes, loads);
    poolSizes = "wanted=" + wanted + " " + sizes;
    // What is wanted now goes before what is expected, which takes nothing that other pools hold.
    for (PoolShortage.Kind kind : PoolShortage.Kind.values()) {
      Set<String> withoutSource = new HashSet<>();
      Optional<String> pool = kind.shortest(needs, sizes, withoutSource);
      while (pool.isPresent()) {
        Optional<Machine> source =
            chooseSource(
                pool.get(), spare.get(), kind, needs, sizes, loads, outOfServiceDataCentres);
        if (source.isPresent()) {
          addMove(source.get(), pool.get(), sizes, loads, nowMs);
        } else {
          withoutSource.add(pool.get());
        }
        pool = kind.shortest(needs, sizes, withoutSource);
      }
    }
    returnSurplus(spare.get(), needs, sizes, loads, nowMs);
  }

  /**
   * Cancels moves of instances that are still drained while their own pool has come to need them
   * more than the one that they would go to. An instance that stays runs tasks at once.
   */
  private void cancelMovesOfNeededInstances(
      Map<String, PoolNeed> needs, PoolSizes sizes, Map<String, WorkerLoad> loads) {
    Iterator<Map.Entry<String, PendingOperation>> operations =
        pendingOperations.entrySet().iterator();
    while (operations.hasNext()) {
      Map.Entry<String, PendingOperation> entry = operations.next();
      PendingOperation operation = entry.getValue();
      Machine machine = machines.get(entry.getKey());
      if (machine != null
          && !operation.isMaintenance()
          && !operation.wasOrdered()
          && PoolShortage.isNeededMore(machine.pool(), operation.pool, needs, sizes)) {
        operations.remove();
        sizes.cancelMove(machine.pool(), isUsable(machine, loads), operation.pool);
      }
    }
  }

  private Map<String, GangTurns.Claim> claims(
      FleetConfig config, Map<String, PoolDemand> demands, PoolSizes sizes) {
    Map<String, GangTurns.Claim> claims = new HashMap<>();
    for (ServiceConfig service : config.services().values()) {
      if (!service.isSpare()) {
        String pool = service.name();
        PoolDemand demand = demands.getOrDefault(pool, PoolDemand.NONE);
        int longRunning = (int) Math.ceil(demand.longRunningWorkers());
        int without = Math.max(leastSize(pool, demand), longRunning);
        int with = Math.max(without, demand.gangWorkers() + longRunning);
        claims.put(pool, new GangTurns.Claim(without, with, sizes.reliable(pool)));
      }
    }
    return claims;
  }

  private int wantedSize(String pool, PoolDemand demand, int gangWorkers) {
    double batch = Math.max(gangWorkers, demand.batchWorkers() * HEADROOM_FACTOR);
    double workers = batch + demand.longRunningWorkers();
    int size = Math.max(demand.minWorkers() + 1, (int) Math.ceil(workers));
    return size + substitutes(pool, demand);
  }

  private int leastSize(String pool, PoolDemand demand) {
    if (demand.minWorkers() > 0) {
      return demand.minWorkers() + 1 + substitutes(pool, demand);
    }
    return demand.batchWorkers() > 0 ? 1 : 0;
  }

  /**
   * Counts the instances for which a pool needs a substitute during their maintenance: long-running
   * tasks do, short tasks can wait.
   */
  private int substitutes(String pool, PoolDemand demand) {
    return demand.minWorkers() > 0 ? countInMaintenance(pool) : 0;
  }

  /** Counts a pool's instances that are in maintenance or are drained for it. */
  private int countInMaintenance(String pool) {
    int count = 0;
    for (Machine machine : machines.values()) {
      PendingOperation operation = pendingOperations.get(machine.name());
      Unavailability unavailability = unavailable.get(machine.name());
      boolean isForMaintenance =
          (operation != null && operation.isMaintenance())
              || (unavailability != null && unavailability.wave().isPresent());
      if (isForMaintenance && machine.pool().equals(pool)) {
        count++;
      }
    }
    return count;
  }

  /** Returns the size of a pool after all pending operations; empty before the first list. */
  public OptionalInt projectedSize(String pool) {
    return machines.isEmpty()
        ? OptionalInt.empty()
        : OptionalInt.of(projectedSizes(Set.of()).getOrDefault(pool, 0));
  }

  /** Counts instances per pool as they will be once all pending operations are done. */
  private Map<String, Integer> projectedSizes(Set<String> outOfServiceDataCentres) {
    Map<String, Integer> sizes = new HashMap<>();
    for (Machine machine : machines.values()) {
      if (outOfServiceDataCentres.contains(machine.dataCentre())) {
        continue;
      }
      PendingOperation operation = pendingOperations.get(machine.name());
      Unavailability unavailability = unavailable.get(machine.name());
      String pool =
          unavailability != null
              ? unavailability.pool()
              : operation != null ? operation.pool : machine.pool();
      if (machine.state() != Machine.State.DOWN) {
        sizes.merge(pool, 1, Integer::sum);
      }
    }
    return sizes;
  }

  /** Counts the instances of each pool on which tasks may start and nothing is planned. */
  private Map<String, Integer> usableSizes(
      Map<String, WorkerLoad> loads, Set<String> outOfServiceDataCentres) {
    Map<String, Integer> usable = new HashMap<>();
    for (Machine machine : machines.values()) {
      if (isAvailable(machine)
          && isUsable(machine, loads)
          && !outOfServiceDataCentres.contains(machine.dataCentre())) {
        usable.merge(machine.pool(), 1, Integer::sum);
      }
    }
    return usable;
  }

  private Optional<Machine> chooseSource(
      String pool,
      String spare,
      PoolShortage.Kind kind,
      Map<String, PoolNeed> needs,
      PoolSizes sizes,
      Map<String, WorkerLoad> loads,
      Set<String> outOfServiceDataCentres) {
    double coverage = kind.coverageWithOneMore(needs.get(pool), sizes.present(pool));
    Machine best = null;
    double bestCost = Double.MAX_VALUE;
    for (Machine machine : machines.values()) {
      if (!isAvailable(machine)
          || machine.pool().equals(pool)
          || outOfServiceDataCentres.contains(machine.dataCentre())
          || impossibleOrders.contains(orderKey(new MachineOrder.Move(machine.name(), pool)))) {
        continue;
      }
      boolean isSpare = machine.pool().equals(spare);
      Optional<PoolNeed> donor = Optional.ofNullable(needs.get(machine.pool()));
      int left = sizes.reliableWithout(machine.pool(), isUsable(machine, loads));
      if (!isSpare
          && donor.isPresent()
          && (left < 0 || !kind.mayGive(donor.get(), left, coverage))) {
        continue;
      }
      WorkerLoad load = loads.get(machine.workerId());
      double cost = isSpare || load == null ? 0 : InstanceCosts.drainCost(load);
      if (!isSpare && left < donor.map(need -> need.forecast().soon()).orElse(0)) {
        cost += InstanceCosts.NEEDED_SOON;
      }
      if (cost < bestCost) {
        best = machine;
        bestCost = cost;
      }
    }
    return bestCost <= 2 ? Optional.ofNullable(best) : Optional.empty();
  }

  private boolean isAvailable(Machine machine) {
    return machine.state() == Machine.State.UP
        && !pendingOperations.containsKey(machine.name())
        && !unavailable.containsKey(machine.name());
  }

  private void addMove(
      Machine machine, String pool, PoolSizes sizes, Map<String, WorkerLoad> loads, long nowMs) {
    pendingOperations.put(machine.name(), new PendingOperation(Optional.empty(), pool, nowMs));
    sizes.move(machine.pool(), isUsable(machine, loads), pool);
  }

  private void returnSurplus(
      String spare,
      Map<String, PoolNeed> needs,
      PoolSizes sizes,
      Map<String, WorkerLoad> loads,
      long nowMs) {
    for (Map.Entry<String, PoolNeed> entry : needs.entrySet()) {
      String pool = entry.getKey();
      int surplus = sizes.reliable(pool) - entry.getValue().held();
      if (surplus <= 0) {
        surplusSinceMs.remove(pool);
        continue;
      }
      long sinceMs = surplusSinceMs.computeIfAbsent(pool, name -> nowMs);
      if (nowMs - sinceMs < SURPLUS_DELAY_MS) {
        continue;
      }
      List<Machine> leaving =
          machines.values().stream()
              .filter(machine -> machine.pool().equals(pool) && isAvailable(machine))
              .filter(machine -> loads.containsKey(machine.workerId()))
              .filter(machine -> loads.get(machine.workerId()).longRunningRuns() == 0)
              .sorted(
                  Comparator.comparingDouble(
                      machine -> loads.get(machine.workerId()).reservedFraction()))
              .limit(surplus)
              .toList();
      for (Machine machine : leaving) {
        String next = PoolShortage.nextPool(needs, sizes).orElse(spare);
        boolean isImpossible =
            impossibleOrders.contains(orderKey(new MachineOrder.Move(machine.name(), next)));
        addMove(machine, isImpossible ? spare : next, sizes, loads, nowMs);
      }
    }
  }
}
