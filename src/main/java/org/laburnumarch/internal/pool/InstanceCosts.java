package org.laburnumarch.internal.pool;

import java.util.Map;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.ServiceConfig;
import org.laburnumarch.internal.schedule.WorkerLoad;

/** Estimates what it costs to take an instance out of its pool. Pure functions. */
final class InstanceCosts {

  /** Cost of taking an instance that its pool is expected to need soon, beside the drain cost. */
  static final double NEEDED_SOON = 0.5;

  private InstanceCosts() {}

  /**
   * Estimates how much running work is disrupted by the maintenance of an instance. Maintenance may
   * start at any time if the result is below 1, and otherwise only as fast as the wave's deadline
   * requires.
   */
  static double disruption(
      Machine machine,
      FleetConfig config,
      Map<String, PoolDemand> demands,
      Map<String, WorkerLoad> loads) {
    boolean isSpare = config.service(machine.pool()).map(ServiceConfig::isSpare).orElse(false);
    WorkerLoad load = loads.get(machine.workerId());
    if (isSpare || load == null) {
      return 0;
    }
    double demandedWorkers = demands.getOrDefault(machine.pool(), PoolDemand.NONE).batchWorkers();
    if (load.isEmpty()) {
      return 0.1 + demandedWorkers / 10;
    }
    return 0.5 + load.reservedFraction() + demandedWorkers + load.shortRuns() / 10.0;
  }

  /** Estimates the time in seconds to drain a worker without losing work. */
  static double drainCost(WorkerLoad load) {
    return 0.1 + load.longRunningRuns() * 1.5 + Math.min(1, load.shortRuns()) * 1.0;
  }
}
