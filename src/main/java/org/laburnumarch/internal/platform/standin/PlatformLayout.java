package org.laburnumarch.internal.platform.standin;

import java.util.List;
import java.util.Map;
import org.laburnumarch.internal.job.Resources;

/**
 * The pools, queues and workers of a simulated platform.
 *
 * @param poolSizes number of instances of each pool
 * @param routes the queues and the pools that serve them
 * @param sparePool pool whose instances run no worker
 * @param dataCentres names of the data centres; racks are spread over them
 * @param instancesPerRack number of neighbouring instances in one rack
 * @param capacity capacity of every worker
 * @param minStopMs shortest time that stopping a run takes
 * @param maxStopMs longest time that stopping a run takes
 * @param stopTimeoutMs limit of that time, as the daemons' settings state it
 * @param minClockRate lowest rate of a worker's clock; the platform allows 0.98 to 1
 * @param isConcurrent whether each worker has a thread of its own and responds late at times
 * @param teams the teams and their limits
 * @param runTimeSpreadPercent by how much a run may be shorter or longer than its estimate
 */
public record PlatformLayout(
    Map<String, Integer> poolSizes,
    List<Route> routes,
    String sparePool,
    List<String> dataCentres,
    int instancesPerRack,
    Resources capacity,
    long minStopMs,
    long maxStopMs,
    long stopTimeoutMs,
    double minClockRate,
    boolean isConcurrent,
    List<OperatorConfig.Team> teams,
    int runTimeSpreadPercent) {

  /** A queue, the pool that serves it, and its priority; 0 comes first. */
  public record Route(String queue, String pool, int priority) {}

  private static final int NO_RACKS = 0;
  private static final int ALTERNATING_RACKS = 2;

  /** Returns a small platform with one queue for batch jobs and one for long-running jobs. */
  public static PlatformLayout small(Map<String, Integer> poolSizes) {
    return new PlatformLayout(
        poolSizes,
        List.of(
            new Route(PlatformStandIn.BATCH_QUEUE, PlatformStandIn.BATCH_POOL, 0),
            new Route(PlatformStandIn.LONG_RUNNING_QUEUE, PlatformStandIn.LONG_RUNNING_POOL, 0)),
        PlatformStandIn.SPARE_POOL,
        List.of("north"),
        NO_RACKS,
        SimulatedWorker.CAPACITY,
        SimulatedWorker.STOP_DURATION_MS,
        SimulatedWorker.STOP_DURATION_MS,
        200,
        0.981,
        false,
        equalTeams(InvariantChecker.TEAM_CPU_MILLIS),
        0);
  }

  /** Returns the usual teams with the same limit for each, in thousandths of a processor core. */
  public static List<OperatorConfig.Team> equalTeams(long cpuMillis) {
    return PlatformStandIn.TEAMS.stream()
        .map(name -> new OperatorConfig.Team(name, 50, cpuMillis))
        .toList();
  }

  /** Returns the number of instances in all pools. */
  public int instances() {
    return poolSizes.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the pool that serves a queue. */
  public String poolOf(String queue) {
    return routes.stream()
        .filter(route -> route.queue().equals(queue))
        .findFirst()
        .orElseThrow()
        .pool();
  }

  /**
   * Returns what the worker of an instance is like.
   *
   * @param instance number of the instance
   * @param startedWorkers number of workers that were started before, of all instances
   */
  WorkerProfile profile(int instance, int startedWorkers) {
    int rack =
        instancesPerRack == NO_RACKS
            ? startedWorkers % ALTERNATING_RACKS
            : instance / instancesPerRack;
    return new WorkerProfile(
        "r" + rack, dataCentres.get(rack % dataCentres.size()), capacity, minStopMs, maxStopMs);
  }
}
