package org.laburnumarch.internal.forecast;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.FleetConfig.CallerLimits;
import org.laburnumarch.internal.job.ServiceConfig;
import org.laburnumarch.internal.pool.FleetPlan;
import org.laburnumarch.internal.pool.FleetPlanner;
import org.laburnumarch.internal.pool.Machine;
import org.laburnumarch.internal.pool.MachineOrder;
import org.laburnumarch.internal.pool.MachineOrderOutcome;
import org.laburnumarch.internal.pool.PoolDemand;
import org.laburnumarch.internal.schedule.WorkerLoad;

/** Plays demand against pools that the planner sizes, on virtual time. */
final class PoolSimulation {

  static final long MOVE_MS = 1_500;
  static final long REGISTRATION_MS = 1_000;

  /** What the settings say: a worker is registered after one interval at the latest. */
  static final MoveTimes TIMES = new MoveTimes(MOVE_MS, 1_500);

  private static final long STEP_MS = 100;
  private static final long DRAIN_MS = 500;

  /** Time after which the estimate of the demand shows a change. */
  private static final long ESTIMATE_LAG_MS = 300;

  /** Demand in busy workers. */
  interface Demand {
    double workers(int pool, long atMs);
  }

  /** Work that was short of instances and instances that were held, in instance-seconds. */
  record Result(double shortS, double heldS) {
    Result plus(Result other) {
      return new Result(shortS + other.shortS, heldS + other.heldS);
    }
  }

  private static final class Instance {
    private String pool;
    private Optional<String> target = Optional.empty();
    private long readyAtMs;
    private long cordonedAtMs = -1;

    Instance(String pool) {
      this.pool = pool;
    }
  }

  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private final FleetConfig config;
  private final int pools;
  private final Demand demand;
  private FleetPlanner planner;
  private long nowMs = 1_000_000;
  private final long startMs = nowMs;

  PoolSimulation(int pools, int poolSize, int spares, Demand demand, PoolForecaster forecaster) {
    this.pools = pools;
    this.demand = demand;
    List<ServiceConfig> services = new ArrayList<>();
    services.add(new ServiceConfig("spare", true, true, "/"));
    for (int i = 0; i < pools * poolSize + spares; i++) {
      instances.put("m" + i, new Instance(i < pools * poolSize ? "p" + i / poolSize : "spare"));
    }
    for (int i = 0; i < pools; i++) {
      services.add(new ServiceConfig("p" + i, true, false, "/"));
    }
    config = new FleetConfig(1, List.of(), services, List.of(), CallerLimits.DEFAULT);
    replaceOwner(forecaster);
  }

  /** Continues with a new planner, as after a takeover. */
  void replaceOwner(PoolForecaster forecaster) {
    planner = new FleetPlanner(MOVE_MS, 2_000, forecaster);
  }

  long nowMs() {
    return nowMs;
  }

  /** Goes on until a time after the start. */
  Result runUntil(long untilMs) {
    Result result = new Result(0, 0);
    for (; nowMs - startMs < untilMs; nowMs += STEP_MS) {
      result = result.plus(step());
    }
    return result;
  }

  private Result step() {
    Map<String, Integer> ready = new HashMap<>();
    List<WorkerLoad> loads = new ArrayList<>();
    List<Machine> machines = new ArrayList<>();
    double held = 0;
    for (Map.Entry<String, Instance> entry : instances.entrySet()) {
      Instance instance = entry.getValue();
      if (instance.target.isPresent() && nowMs >= instance.readyAtMs - REGISTRATION_MS) {
        instance.pool = instance.target.get();
        instance.target = Optional.empty();
      }
      boolean isUp = instance.target.isEmpty();
      boolean isSpare = instance.pool.equals("spare");
      held += isSpare && (isUp || instance.target.get().equals("spare")) ? 0 : 1;
      boolean isReady = isUp && !isSpare && nowMs >= instance.readyAtMs;
      machines.add(
          new Machine(
              entry.getKey(),
              instance.pool,
              isUp ? Machine.State.UP : Machine.State.MOVING,
              "dc",
              List.of("r"),
              isReady ? "w" + entry.getKey() : ""));
      if (isReady) {
        boolean isCordoned = instance.cordonedAtMs >= 0;
        boolean isBusy =
            isCordoned
                ? nowMs - instance.cordonedAtMs < DRAIN_MS
                : ready.getOrDefault(instance.pool, 0) < demandOf(instance.pool, nowMs);
        loads.add(new WorkerLoad("w" + entry.getKey(), instance.pool, true, isBusy ? 1 : 0, 0, 0));
        ready.merge(instance.pool, isCordoned ? 0 : 1, Integer::sum);
      }
    }
    double missing = 0;
    Map<String, PoolDemand> demands = new TreeMap<>();
    for (int i = 0; i < pools; i++) {
      String pool = "p" + i;
      missing += Math.max(0, demandOf(pool, nowMs) - ready.getOrDefault(pool, 0));
      demands.put(pool, new PoolDemand(demandOf(pool, nowMs - ESTIMATE_LAG_MS), 0.5, 1));
    }
    planner.onList(machines, nowMs);
    carryOut(planner.plan(config, demands, loads, Set.of(), true, nowMs));
    return new Result(missing * STEP_MS / 1_000, held * STEP_MS / 1_000);
  }

  private double demandOf(String pool, long atMs) {
    return demand.workers(Integer.parseInt(pool.substring(1)), Math.max(0, atMs - startMs));
  }

  private void carryOut(FleetPlan plan) {
    Set<String> cordoned = new HashSet<>(plan.cordoned());
    instances.forEach(
        (name, instance) -> {
          boolean isCordoned = cordoned.contains("w" + name);
          instance.cordonedAtMs =
              !isCordoned ? -1 : instance.cordonedAtMs < 0 ? nowMs : instance.cordonedAtMs;
        });
    for (MachineOrder order : plan.orders()) {
      MachineOrder.Move move = (MachineOrder.Move) order;
      Instance instance = instances.get(move.machine());
      instance.target = Optional.of(move.pool());
      instance.readyAtMs = nowMs + MOVE_MS + REGISTRATION_MS;
      planner.onOutcome(order, MachineOrderOutcome.DONE, nowMs);
    }
  }
}
