package org.laburnumarch.internal.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.ServiceConfig;
import org.laburnumarch.internal.schedule.WorkerLoad;

/**
 * Decides which instances move and which go into maintenance. Each instance that is to go is first
 * cordoned and emptied; the order follows when nothing runs there. Not thread-safe; no I/O.
 *
 * <p>Answers two loads: maintenance waves, which take idle instances first and busy ones only as
 * fast as the wave's time demands; and demand that turns from pool to pool, which instances follow
 * while pools that nobody asks give theirs to the spare pool.
 */
public final class FleetPlanner {

  /** Part of the estimated need by which a pool is made larger. */
  private static final double HEADROOM = 1.2;

  /** Time that a pool must have too many instances before it gives one up. */
  private static final long SURPLUS_MS = 800;

  /** Time before a wave's end by which its last maintenance should have begun. */
  private static final long WAVE_MARGIN_MS = 3_500;

  /** Time that emptying an instance and its maintenance take together. */
  private static final long MAINTENANCE_CYCLE_MS = 4_500;

  /** Pause before an order is given again. */
  private static final long RETRY_MS = 250;

  /** Time after which an order without effect in the list of instances is forgotten. */
  private static final long SETTLE_MS = 700;

  /** Time for which an instance may be emptied for a move before the move is given up. */
  private static final long MOVE_PATIENCE_MS = 2_500;

  /** Why an instance is to go. */
  private static final class Errand {
    private final Optional<Long> wave;
    private final String pool;
    private final long sinceMs;
    private boolean isOrdered;
    private long notBeforeMs;

    Errand(Optional<Long> wave, String pool, long nowMs) {
      this.wave = wave;
      this.pool = pool;
      this.sinceMs = nowMs;
    }

    boolean isMaintenance() {
      return wave.isPresent();
    }
  }

  /** A wave with what is left of it. */
  private static final class WaveState {
    private final MaintenanceWave wave;
    private final long dueAtMs;
    private final Set<String> begun = new HashSet<>();

    WaveState(MaintenanceWave wave, long dueAtMs) {
      this.wave = wave;
      this.dueAtMs = dueAtMs;
    }
  }

  private final long moveMs;
  private final long maintenanceMs;
  private final Map<Long, WaveState> waves = new LinkedHashMap<>();
  private final Map<String, Errand> errands = new LinkedHashMap<>();

  /** Instances that are away: until when at least, and for which wave. */
  private final Map<String, Away> away = new HashMap<>();

  private final PoolMemory memory = new PoolMemory();
  private final Map<String, Long> surplusSinceMs = new HashMap<>();
  private final Set<String> impossible = new HashSet<>();
  private Map<String, Machine> machines = Map.of();
  private String poolSizes = "";

  private record Away(long untilMs, Optional<Long> wave, String pool) {}

  /**
   * Creates a planner.
   *
   * @param moveMs time that a move takes
   * @param maintenanceMs time that maintenance takes
   */
  public FleetPlanner(long moveMs, long maintenanceMs) {
    this.moveMs = moveMs;
    this.maintenanceMs = maintenanceMs;
  }

  /** Takes up a wave; one that is known already is ignored. */
  public void addWave(MaintenanceWave wave, long seenAtMs, Set<String> begun) {
    WaveState state =
        waves.computeIfAbsent(
            wave.number(), number -> new WaveState(wave, seenAtMs + wave.dueMs()));
    state.begun.addAll(begun);
  }

  /** Returns the sizes of all pools, as they are to be and as they will be, for the log. */
  public String describePools() {
    return poolSizes;
  }

  /** Returns the instances of a wave whose maintenance has begun. */
  public Set<String> begun(long wave) {
    WaveState state = waves.get(wave);
    return state == null ? Set.of() : Set.copyOf(state.begun);
  }

  /** Returns whether every instance of a wave that still exists has begun its maintenance. */
  public boolean isCompleted(long wave) {
    WaveState state = waves.get(wave);
    return state != null
        && !machines.isEmpty()
        && state.wave.machines().stream()
            .allMatch(name -> state.begun.contains(name) || !machines.containsKey(name));
  }

  /**
   * Takes up a list of instances.
   *
   * @param askedAtMs local time at which the list was asked for
   */
  public void onList(Collection<Machine> listed, long askedAtMs) {
    Map<String, Machine> byName = new LinkedHashMap<>();
    listed.forEach(machine -> byName.put(machine.name(), machine));
    machines = byName;
    away.entrySet()
        .removeIf(
            entry -> {
              Machine machine = byName.get(entry.getKey());
              return askedAtMs > entry.getValue().untilMs()
                  && (machine == null || machine.state() == Machine.State.UP);
            });
    errands.keySet().removeIf(name -> !byName.containsKey(name));
  }

  /** Returns whether a new list of instances is wanted. */
  public boolean wantsList(Collection<WorkerLoad> loads, long nowMs) {
    if (machines.isEmpty()
        || away.values().stream().anyMatch(it -> it.untilMs() < nowMs)
        || machines.values().stream().anyMatch(it -> it.state() != Machine.State.UP)) {
      return true;
    }
    Set<String> known = new HashSet<>();
    machines.values().forEach(machine -> known.add(machine.workerId()));
    return loads.stream().anyMatch(load -> !known.contains(load.workerId()));
  }

  /** Deals with the outcome of an order. */
  public void onOutcome(MachineOrder order, MachineOrderOutcome outcome, long nowMs) {
    Errand errand = errands.get(order.machine());
    switch (outcome) {
      case DONE -> {
        errands.remove(order.machine());
        if (order instanceof MachineOrder.Maintain maintain) {
          Optional.ofNullable(waves.get(maintain.wave()))
              .ifPresent(state -> state.begun.add(order.machine()));
          away.put(
              order.machine(),
              new Away(
                  nowMs + maintenanceMs + SETTLE_MS,
                  Optional.of(maintain.wave()),
                  poolOf(order.machine())));
        } else if (order instanceof MachineOrder.Move move) {
          away.put(
              order.machine(), new Away(nowMs + moveMs + SETTLE_MS, Optional.empty(), move.pool()));
        }
      }
      case IMPOSSIBLE, FENCED -> {
        errands.remove(order.machine());
        impossible.add(impossibleKey(order));
      }
      case REFUSED, UNKNOWN -> {
        if (errand != null) {
          errand.isOrdered = false;
          errand.notBeforeMs = nowMs + RETRY_MS;
        }
      }
    }
  }

  private static String impossibleKey(MachineOrder order) {
    return order instanceof MachineOrder.Move move
        ? move.machine() + "->" + move.pool()
        : order.toString();
  }

  private String poolOf(String machine) {
    return Optional.ofNullable(machines.get(machine)).map(Machine::pool).orElse("");
  }

  /** Decides what to do now. */
  public FleetPlan plan(
      FleetConfig config,
      Map<String, PoolDemand> demands,
      Collection<WorkerLoad> loads,
      Set<String> evacuated,
      long nowMs) {
    Map<String, WorkerLoad> loadsById = new HashMap<>();
    loads.forEach(load -> loadsById.put(load.workerId(), load));
    planMaintenance(config, demands, loadsById, nowMs);
    planMoves(config, demands, loadsById, evacuated, nowMs);
    return carryOut(config, loadsById, nowMs);
  }

  /** Returns whether nothing can run on an instance because it is switched off. */
  private static boolean isWithoutWorker(Machine machine, FleetConfig config) {
    return machine.workerId().isEmpty()
        || config.service(machine.pool()).map(ServiceConfig::isSpare).orElse(false);
  }

  private FleetPlan carryOut(FleetConfig config, Map<String, WorkerLoad> loads, long nowMs) {
    List<MachineOrder> orders = new ArrayList<>();
    Set<String> cordoned = new HashSet<>();
    Set<String> vacated = new HashSet<>();
    errands
        .entrySet()
        .removeIf(
            entry ->
                !entry.getValue().isMaintenance()
                    && !entry.getValue().isOrdered
                    && nowMs - entry.getValue().sinceMs > MOVE_PATIENCE_MS);
    for (Map.Entry<String, Errand> entry : errands.entrySet()) {
      Machine machine = machines.get(entry.getKey());
      Errand errand = entry.getValue();
      if (machine == null) {
        continue;
      }
      WorkerLoad load = loads.get(machine.workerId());
      if (load != null) {
        cordoned.add(load.workerId());
        vacated.add(load.workerId());
      }
      boolean isEmpty =
          load == null ? isWithoutWorker(machine, config) : load.isEmpty() && load.isUsable();
      boolean isUp = machine.state() == Machine.State.UP;
      if (isEmpty && isUp && !errand.isOrdered && errand.notBeforeMs <= nowMs) {
        errand.isOrdered = true;
        orders.add(
            errand.isMaintenance()
                ? new MachineOrder.Maintain(machine.name(), errand.wave.orElseThrow())
                : new MachineOrder.Move(machine.name(), errand.pool));
      }
    }
    return new FleetPlan(orders, cordoned, vacated);
  }

  private void planMaintenance(
      FleetConfig config,
      Map<String, PoolDemand> demands,
      Map<String, WorkerLoad> loads,
      long nowMs) {
    for (WaveState state : waves.values()) {
      List<Machine> left = new ArrayList<>();
      int underway = 0;
      for (String name : state.wave.machines()) {
        Machine machine = machines.get(name);
        Errand errand = errands.get(name);
        Away gone = away.get(name);
        if ((errand != null && errand.wave.equals(Optional.of(state.wave.number())))
            || (gone != null && gone.wave().equals(Optional.of(state.wave.number())))) {
          underway++;
        } else if (machine != null && machine.state() == Machine.State.MAINTENANCE) {
          // An earlier owner ordered it.
          state.begun.add(name);
          underway++;
        } else if (machine != null
            && gone == null
            && errand == null
            && machine.state() == Machine.State.UP
            && !state.begun.contains(name)
            && !impossible.contains(
                impossibleKey(new MachineOrder.Maintain(name, state.wave.number())))) {
          left.add(machine);
        }
      }
      chooseForMaintenance(state, left, underway, config, demands, loads, nowMs);
    }
  }

  private void chooseForMaintenance(
      WaveState state,
      List<Machine> left,
      int underway,
      FleetConfig config,
      Map<String, PoolDemand> demands,
      Map<String, WorkerLoad> loads,
      long nowMs) {
    long timeMs = Math.max(1, state.dueAtMs - WAVE_MARGIN_MS - nowMs);
    int needed =
        (int)
            Math.min(
                state.wave.atOnce(),
                Math.ceil((double) (left.size() + underway) * MAINTENANCE_CYCLE_MS / timeMs));
    left.sort(Comparator.comparingDouble(machine -> disturbance(machine, config, demands, loads)));
    int slots = state.wave.atOnce() - underway;
    int taken = underway;
    for (Machine machine : left) {
      if (slots <= 0) {
        return;
      }
      boolean isFree = disturbance(machine, config, demands, loads) < 1;
      if (isFree || taken < needed) {
        errands.put(
            machine.name(), new Errand(Optional.of(state.wave.number()), machine.pool(), nowMs));
        slots--;
        taken++;
      }
    }
  }

  /** Returns how much users would feel that an instance goes; below 1 means hardly. */
  private static double disturbance(
      Machine machine,
      FleetConfig config,
      Map<String, PoolDemand> demands,
      Map<String, WorkerLoad> loads) {
    boolean isSpare = config.service(machine.pool()).map(ServiceConfig::isSpare).orElse(false);
    WorkerLoad load = loads.get(machine.workerId());
    if (isSpare || load == null) {
      return 0;
    }
    double pressure = demands.getOrDefault(machine.pool(), PoolDemand.NONE).shortWorkers();
    if (load.isEmpty()) {
      return 0.1 + pressure / 10;
    }
    return 0.5 + load.usedShare() + pressure + load.shortRuns() / 10.0;
  }

  private void planMoves(
      FleetConfig config,
      Map<String, PoolDemand> demands,
      Map<String, WorkerLoad> loads,
      Set<String> evacuated,
      long nowMs) {
    Optional<String> spare =
        config.services().values().stream()
            .filter(ServiceConfig::isSpare)
            .map(ServiceConfig::name)
            .findFirst();
    if (spare.isEmpty() || machines.isEmpty()) {
      return;
    }
    Map<String, Integer> wanted = wantedSizes(config, demands);
    Map<String, Integer> present = presentSizes(evacuated);
    wanted.forEach((pool, size) -> memory.note(pool, size, isAsked(demands, pool), nowMs));
    poolSizes = "wanted=" + wanted + " present=" + present;
    List<String> lacking = new ArrayList<>(wanted.keySet());
    lacking.sort(
        Comparator.comparingInt(
            pool -> present.getOrDefault(pool, 0) - wanted.getOrDefault(pool, 0)));
    for (String pool : lacking) {
      int lack = wanted.get(pool) - present.getOrDefault(pool, 0);
      for (int i = 0; i < lack; i++) {
        Optional<Machine> source =
            chooseSource(pool, spare.get(), wanted, present, loads, evacuated);
        if (source.isEmpty()) {
          break;
        }
        send(source.get(), pool, present, nowMs);
      }
    }
    returnSurplus(spare.get(), wanted, present, loads, nowMs);
  }

  private Map<String, Integer> wantedSizes(FleetConfig config, Map<String, PoolDemand> demands) {
    Map<String, Integer> wanted = new HashMap<>();
    for (ServiceConfig service : config.services().values()) {
      if (!service.isSpare()) {
        PoolDemand demand = demands.getOrDefault(service.name(), PoolDemand.NONE);
        double workers = demand.shortWorkers() * HEADROOM + demand.lastingWorkers();
        int size = Math.max(demand.spread() + 1, (int) Math.ceil(workers));
        // Lasting tasks that leave an instance need another one; short ones can wait for it.
        int unusable = demand.spread() > 0 ? inMaintenance(service.name()) : 0;
        wanted.put(service.name(), size + unusable);
      }
    }
    return wanted;
  }

  private static boolean isAsked(Map<String, PoolDemand> demands, String pool) {
    return demands.getOrDefault(pool, PoolDemand.NONE).shortWorkers() > 0;
  }

  /** Counts a pool's instances that are in maintenance or are emptied for it. */
  private int inMaintenance(String pool) {
    int count = 0;
    for (Machine machine : machines.values()) {
      Errand errand = errands.get(machine.name());
      Away gone = away.get(machine.name());
      boolean isConcerned =
          (errand != null && errand.isMaintenance()) || (gone != null && gone.wave().isPresent());
      if (isConcerned && machine.pool().equals(pool)) {
        count++;
      }
    }
    return count;
  }

  /** Counts instances per pool as they will be when all that is under way has been done. */
  private Map<String, Integer> presentSizes(Set<String> evacuated) {
    Map<String, Integer> sizes = new HashMap<>();
    for (Machine machine : machines.values()) {
      if (evacuated.contains(machine.dataCentre())) {
        continue;
      }
      Errand errand = errands.get(machine.name());
      Away gone = away.get(machine.name());
      String pool = gone != null ? gone.pool() : errand != null ? errand.pool : machine.pool();
      if (machine.state() != Machine.State.DOWN) {
        sizes.merge(pool, 1, Integer::sum);
      }
    }
    return sizes;
  }

  private Optional<Machine> chooseSource(
      String pool,
      String spare,
      Map<String, Integer> wanted,
      Map<String, Integer> present,
      Map<String, WorkerLoad> loads,
      Set<String> evacuated) {
    Machine best = null;
    double bestCost = Double.MAX_VALUE;
    for (Machine machine : machines.values()) {
      if (!isFree(machine)
          || machine.pool().equals(pool)
          || evacuated.contains(machine.dataCentre())
          || impossible.contains(impossibleKey(new MachineOrder.Move(machine.name(), pool)))) {
        continue;
      }
      boolean isSpare = machine.pool().equals(spare);
      boolean isSurplus =
          present.getOrDefault(machine.pool(), 0) > wanted.getOrDefault(machine.pool(), 0);
      if (!isSpare && !isSurplus) {
        continue;
      }
      WorkerLoad load = loads.get(machine.workerId());
      double cost = isSpare || load == null ? 0 : moveCost(load);
      if (cost < bestCost) {
        best = machine;
        bestCost = cost;
      }
    }
    return bestCost <= 2 ? Optional.ofNullable(best) : Optional.empty();
  }

  /** Returns how long it takes, roughly in seconds, to empty a worker without loss. */
  private static double moveCost(WorkerLoad load) {
    return 0.1 + load.lastingRuns() * 1.5 + Math.min(1, load.shortRuns()) * 1.0;
  }

  private boolean isFree(Machine machine) {
    return machine.state() == Machine.State.UP
        && !errands.containsKey(machine.name())
        && !away.containsKey(machine.name());
  }

  private void send(Machine machine, String pool, Map<String, Integer> present, long nowMs) {
    errands.put(machine.name(), new Errand(Optional.empty(), pool, nowMs));
    present.merge(machine.pool(), -1, Integer::sum);
    present.merge(pool, 1, Integer::sum);
  }

  private void returnSurplus(
      String spare,
      Map<String, Integer> wanted,
      Map<String, Integer> present,
      Map<String, WorkerLoad> loads,
      long nowMs) {
    for (Map.Entry<String, Integer> entry : wanted.entrySet()) {
      String pool = entry.getKey();
      int size = present.getOrDefault(pool, 0);
      int surplus = size - Math.max(entry.getValue(), memory.keep(pool, size, nowMs));
      if (surplus <= 0) {
        surplusSinceMs.remove(pool);
        continue;
      }
      long sinceMs = surplusSinceMs.computeIfAbsent(pool, name -> nowMs);
      if (nowMs - sinceMs < SURPLUS_MS) {
        continue;
      }
      List<Machine> leaving =
          machines.values().stream()
              .filter(machine -> machine.pool().equals(pool) && isFree(machine))
              .filter(machine -> loads.containsKey(machine.workerId()))
              .filter(machine -> loads.get(machine.workerId()).lastingRuns() == 0)
              .sorted(
                  Comparator.comparingDouble(machine -> loads.get(machine.workerId()).usedShare()))
              .limit(surplus)
              .toList();
      leaving.forEach(machine -> send(machine, spare, present, nowMs));
    }
  }
}
