package org.laburnumarch.internal.soak;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.platform.standin.OperatorConfig;
import org.laburnumarch.internal.platform.standin.PlatformLayout;
import org.laburnumarch.internal.platform.standin.PlatformStandIn;
import org.laburnumarch.internal.time.SuspendAwareClock;

/** The platform and the jobs of a run. */
enum SoakLoad {
  /** Two small pools with tasks that last less than a second; all workers share one thread. */
  SHORT_TASKS(20_000) {
    @Override
    PlatformLayout layout() {
      return PlatformLayout.small(
          Map.of(
              PlatformStandIn.BATCH_POOL,
              5,
              PlatformStandIn.LONG_RUNNING_POOL,
              4,
              PlatformStandIn.SPARE_POOL,
              4));
    }

    @Override
    JobSource jobs(Random random, SuspendAwareClock clock) {
      return new ShortJobs(random, clock);
    }
  },
  /**
   * Several pools with tasks that last seconds, so that a second run of a task overlaps with the
   * first; each worker has a thread of its own.
   */
  OVERLAPPING_TASKS(90_000) {
    @Override
    PlatformLayout layout() {
      Map<String, Integer> poolSizes = new HashMap<>();
      Arrays.stream(WaveJobs.Queue.values())
          .forEach(queue -> poolSizes.put(queue.pool(), WORKERS_PER_POOL));
      poolSizes.put(PlatformStandIn.SPARE_POOL, SPARE_INSTANCES);
      return concurrentWorkers(
          poolSizes,
          Arrays.stream(WaveJobs.Queue.values()).flatMap(queue -> queue.routes().stream()).toList(),
          List.of("north", "central", "south"),
          LARGE_WORKER,
          900,
          1_000,
          PlatformLayout.equalTeams(400_000));
    }

    @Override
    JobSource jobs(Random random, SuspendAwareClock clock) {
      return new WaveJobs(random, clock);
    }

    @Override
    List<SoakEvent> faults() {
      return List.of(WorkerFault.values());
    }
  },
  /**
   * Few workers with many small tasks, so that a worker has more ends than it lists at a time when
   * they cannot be stored for some seconds.
   */
  MANY_ENDS(90_000) {
    @Override
    PlatformLayout layout() {
      return concurrentWorkers(
          Map.of(
              PlatformStandIn.BATCH_POOL,
              2,
              PlatformStandIn.LONG_RUNNING_POOL,
              2,
              PlatformStandIn.SPARE_POOL,
              2),
          PlatformLayout.small(Map.of()).routes(),
          List.of("north"),
          new Resources(8_000, 32_000, 0),
          400,
          500,
          PlatformLayout.equalTeams(400_000));
    }

    @Override
    JobSource jobs(Random random, SuspendAwareClock clock) {
      return new BulkJobs(random, clock);
    }

    @Override
    List<SoakEvent> faults() {
      return LogFault.all();
    }
  },
  /** Pools of several sizes with jobs of teams of unequal size, whose demand peaks in turn. */
  PEAKS(90_000) {
    @Override
    PlatformLayout layout() {
      Map<String, Integer> poolSizes = new HashMap<>();
      Arrays.stream(PeakJobs.Queue.values())
          .forEach(queue -> poolSizes.put(queue.pool(), queue.workers()));
      poolSizes.put(PlatformStandIn.SPARE_POOL, 6);
      return concurrentWorkers(
          poolSizes,
          Arrays.stream(PeakJobs.Queue.values()).flatMap(queue -> queue.routes().stream()).toList(),
          List.of("north", "central", "south"),
          LARGE_WORKER,
          900,
          900,
          Arrays.stream(PeakJobs.Team.values()).map(PeakJobs.Team::config).toList());
    }

    @Override
    JobSource jobs(Random random, SuspendAwareClock clock) {
      return new PeakJobs(random, clock);
    }
  },
  /**
   * Small pools with many steps that limit their tasks on one worker, so that dozens of them wait
   * for other workers at a time.
   */
  LIMITED_TASKS(90_000) {
    @Override
    PlatformLayout layout() {
      Map<String, Integer> poolSizes = new HashMap<>();
      Arrays.stream(LimitedJobs.Queue.values())
          .forEach(queue -> poolSizes.put(queue.pool(), queue.workers()));
      poolSizes.put(PlatformStandIn.SPARE_POOL, 0);
      return concurrentWorkers(
          poolSizes,
          Arrays.stream(LimitedJobs.Queue.values())
              .flatMap(queue -> queue.routes().stream())
              .toList(),
          List.of("north"),
          LARGE_WORKER,
          400,
          500,
          PlatformLayout.equalTeams(400_000));
    }

    @Override
    JobSource jobs(Random random, SuspendAwareClock clock) {
      return new LimitedJobs(random, clock);
    }
  };

  private static final int WORKERS_PER_POOL = 10;
  private static final int SPARE_INSTANCES = 8;

  private static final Resources LARGE_WORKER = new Resources(32_000, 65_536, 0);

  private final long maxSettleMs;

  SoakLoad(long maxSettleMs) {
    this.maxSettleMs = maxSettleMs;
  }

  /** Returns a platform whose workers each have a thread of their own, four to a rack. */
  private static PlatformLayout concurrentWorkers(
      Map<String, Integer> poolSizes,
      List<PlatformLayout.Route> routes,
      List<String> dataCentres,
      Resources capacity,
      long maxStopMs,
      long stopTimeoutMs,
      List<OperatorConfig.Team> teams) {
    return new PlatformLayout(
        poolSizes,
        routes,
        PlatformStandIn.SPARE_POOL,
        dataCentres,
        4,
        capacity,
        20,
        maxStopMs,
        stopTimeoutMs,
        0.98,
        true,
        teams,
        40);
  }

  abstract PlatformLayout layout();

  abstract JobSource jobs(Random random, SuspendAwareClock clock);

  /**
   * Returns the time after the last fault in which every accepted job must finish and every
   * long-running task must run again. It covers the longest lease, a takeover and the longest job.
   */
  long maxSettleMs() {
    return maxSettleMs;
  }

  /** Returns the faults that only this load can show. */
  List<SoakEvent> faults() {
    return List.of();
  }
}
