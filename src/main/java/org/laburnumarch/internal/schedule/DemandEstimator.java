package org.laburnumarch.internal.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.QueueConfig;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.pool.PoolDemand;
import org.laburnumarch.internal.runtime.RunTimes;

/**
 * Estimates how many workers each pool needs now, in workers of its usual size. Demand may jump to
 * several times its mean within a second, so the larger of two estimates counts: the rate at which
 * waiting work must run to meet its objectives, and the rate of arrivals, which rises before a
 * queue builds up.
 */
final class DemandEstimator {

  /** Fraction of the time until its deadline within which a job is planned to finish. */
  private static final double PLANNED_TIME_FRACTION = 0.6;

  /** Weight of work that can no longer meet its objective. */
  private static final double LATE_WORK_WEIGHT = 0.3;

  /**
   * The rates at which work arrives, by resource. They are divided by the size of a worker only
   * when they are used, because the jobs that a new owner inherits precede its list of workers.
   */
  private static final class Arrivals {
    private final ArrivalRate cpu = new ArrivalRate();
    private final ArrivalRate memory = new ArrivalRate();

    /** Returns the number of workers that the current rate keeps busy. */
    double workers(Resources workerSize, long nowMs) {
      return Math.max(
          cpu.perMs(nowMs) / Math.max(1, workerSize.cpuMillis()),
          memory.perMs(nowMs) / Math.max(1, workerSize.memoryMb()));
    }
  }

  /** What work that is there needs: a number of workers, and the resources of its tasks. */
  private record Need(double workers, double cpuMillis, double memoryMb) {
    private static final Need NONE = new Need(0, 0, 0);

    Need plus(Need other) {
      return new Need(
          workers + other.workers, cpuMillis + other.cpuMillis, memoryMb + other.memoryMb);
    }

    Need times(double factor) {
      return new Need(factor * workers, factor * cpuMillis, factor * memoryMb);
    }

    /** Returns the part of the need that a limit on resources allows; 0 in it means no limit. */
    double partWithin(Resources limit) {
      double cpu = limit.cpuMillis() == 0 ? 1 : limit.cpuMillis() / Math.max(1, cpuMillis);
      double memory = limit.memoryMb() == 0 ? 1 : limit.memoryMb() / Math.max(1, memoryMb);
      return Math.min(1, Math.min(cpu, memory));
    }
  }

  /** What the demand of a pool consists of, in workers. */
  private record Parts(double needed, double arriving, double runnable) {
    @Override
    public String toString() {
      return String.format(
          Locale.ROOT, "needed:%.1f/arriving:%.1f/runnable:%.1f", needed, arriving, runnable);
    }
  }

  private final CandidateRanking ranking;
  private final RunTimes runTimes;
  private final Map<String, Arrivals> arrivalsByService = new HashMap<>();
  private final Map<String, Parts> partsByService = new TreeMap<>();

  DemandEstimator(CandidateRanking ranking, RunTimes runTimes) {
    this.ranking = ranking;
    this.runTimes = runTimes;
  }

  /** Adds an accepted job to the rate of arrivals. Long-running and timed jobs are left out. */
  void recordArrival(Job job, QueueConfig queue, long nowMs) {
    if (job.spec.isLongRunning() || job.spec.isTimed()) {
      return;
    }
    double cpuWork = 0;
    double memoryWork = 0;
    for (var step : job.spec.steps()) {
      double taskTimeMs = step.count() * runTimes.expectedMs(queue.name(), step);
      cpuWork += taskTimeMs * step.need().cpuMillis();
      memoryWork += taskTimeMs * step.need().memoryMb();
    }
    Arrivals arrivals = arrivals(queue.service());
    arrivals.cpu.add(cpuWork, nowMs);
    arrivals.memory.add(memoryWork, nowMs);
  }

  /** Returns what the unfinished tasks of an occurrence occupy that run or can run now. */
  private static Need runnable(List<Step> steps, Resources workerSize) {
    Need runnable = Need.NONE;
    for (Step step : steps) {
      if (!step.spec.isLongRunning() && Job.areDependenciesDone(step, steps)) {
        Resources task = step.spec.need();
        Need ofTask =
            new Need(fractionOfWorker(task, workerSize), task.cpuMillis(), task.memoryMb());
        runnable = runnable.plus(ofTask.times(step.tasks.size() - step.doneCount));
      }
    }
    return runnable;
  }

  /**
   * Returns what the unfinished steps of an occurrence need to meet its objective, but no more than
   * the tasks occupy that can run now.
   */
  private Need need(
      List<Step> steps,
      Need runnable,
      QueueConfig queue,
      Resources workerSize,
      long nowMs,
      long epochMs) {
    double workMs = 0;
    for (Step step : steps) {
      if (!step.spec.isLongRunning()) {
        workMs +=
            (step.tasks.size() - step.doneCount)
                * step.predict(runTimes).expectedMs()
                * fractionOfWorker(step.spec.need(), workerSize);
      }
    }
    if (workMs == 0 || runnable.workers() == 0) {
      return Need.NONE;
    }
    CandidateRanking.Candidate candidate =
        ranking.candidate(steps.get(0), steps, queue, nowMs, epochMs);
    double chainMs = Math.max(1, ranking.chainMs(steps, true));
    double plannedMs =
        Math.max(chainMs, PLANNED_TIME_FRACTION * (candidate.deadlineAtMs() - nowMs));
    double weight = candidate.rank() == CandidateRanking.Rank.LATE ? LATE_WORK_WEIGHT : 1;
    return runnable.times(weight * Math.min(1, workMs / plannedMs / runnable.workers()));
  }

  /**
   * Returns the fraction of a worker that an amount takes, by the scarcer of processor and memory.
   */
  static double fractionOfWorker(Resources amount, Resources workerSize) {
    double cpu = (double) amount.cpuMillis() / Math.max(1, workerSize.cpuMillis());
    double memory = (double) amount.memoryMb() / Math.max(1, workerSize.memoryMb());
    return Math.max(cpu, memory);
  }

  /**
   * Returns the current demand on each pool, by service.
   *
   * @param workerSize returns the capacity of a pool's workers; empty while no worker is known
   */
  Map<String, PoolDemand> demands(
      Collection<Job> jobs,
      FleetConfig config,
      Function<String, Optional<Resources>> workerSize,
      long nowMs,
      long epochMs) {
    Map<String, PoolDemand> longRunning = new HashMap<>();
    Map<String, Map<String, Need>> neededByTeam = new HashMap<>();
    Map<String, Map<String, Need>> runnableByTeam = new HashMap<>();
    Map<String, Integer> widestGangs = new HashMap<>();
    for (Job job : jobs) {
      Optional<QueueConfig> queue = config.queue(job.spec.queue());
      if (job.status.isFinal() || queue.isEmpty()) {
        continue;
      }
      String service = queue.get().service();
      Optional<Resources> size = workerSize.apply(service);
      for (List<Step> steps : job.occurrences.values()) {
        size.ifPresent(
            known -> {
              Need runnable = runnable(steps, known);
              add(runnableByTeam, job.spec.team(), service, runnable);
              Need needed = need(steps, runnable, queue.get(), known, nowMs, epochMs);
              add(neededByTeam, job.spec.team(), service, needed);
              widestGangs.merge(service, widestGang(steps, config, known), Math::max);
            });
        for (Step step : steps) {
          if (step.spec.isLongRunning()) {
            longRunning.merge(service, longRunningDemand(step, size), DemandEstimator::add);
          }
        }
      }
    }
    Map<String, Double> neededWorkers = workersWithinLimits(neededByTeam, config);
    Map<String, Double> runnableWorkers = workersWithinLimits(runnableByTeam, config);
    Map<String, PoolDemand> demands = new HashMap<>();
    for (String service : config.services().keySet()) {
      double needed = neededWorkers.getOrDefault(service, 0.0);
      double runnable = runnableWorkers.getOrDefault(service, 0.0);
      double arriving =
          workerSize.apply(service).map(size -> arrivals(service).workers(size, nowMs)).orElse(0.0);
      partsByService.put(service, new Parts(needed, arriving, runnable));
      PoolDemand batch =
          new PoolDemand(
              Math.max(needed, arriving), runnable, 0, 0, widestGangs.getOrDefault(service, 0));
      demands.put(service, add(batch, longRunning.getOrDefault(service, PoolDemand.NONE)));
    }
    return demands;
  }

  private static void add(
      Map<String, Map<String, Need>> needsByTeam, String team, String service, Need added) {
    needsByTeam.computeIfAbsent(team, name -> new HashMap<>()).merge(service, added, Need::plus);
  }

  /** Returns the workers that waiting work needs by pool, as far as the teams' limits allow. */
  private static Map<String, Double> workersWithinLimits(
      Map<String, Map<String, Need>> needsByTeam, FleetConfig config) {
    Map<String, Double> workers = new HashMap<>();
    needsByTeam.forEach(
        (team, needs) -> {
          Need all = needs.values().stream().reduce(Need.NONE, Need::plus);
          double part = config.team(team).map(known -> all.partWithin(known.limit())).orElse(1.0);
          needs.forEach(
              (service, need) -> workers.merge(service, part * need.workers(), Double::sum));
        });
    return workers;
  }

  /** Returns what the newest demands consist of, in workers, for the log. */
  String describe() {
    return "demand=" + partsByService;
  }

  private Arrivals arrivals(String service) {
    return arrivalsByService.computeIfAbsent(service, name -> new Arrivals());
  }

  /** Returns the number of workers that the widest gang of an occurrence needs at once. */
  private static int widestGang(List<Step> steps, FleetConfig config, Resources workerSize) {
    int widest = 0;
    for (Step step : steps) {
      // Long-running tasks count by themselves, in gangs or not.
      if (step.spec.isGang()
          && !step.spec.isLongRunning()
          && !step.isDone()
          && Job.areDependenciesDone(step, steps)) {
        int count = step.spec.count();
        Resources together = step.spec.need().times(count);
        boolean isWithinLimit =
            config.team(step.job.spec.team()).map(it -> it.limit().allows(together)).orElse(true);
        int perWorker = tasksPerWorker(step.spec.reserved(), workerSize);
        if (isWithinLimit && perWorker > 0) {
          int limit = step.spec.maxPerWorker();
          int allowed = limit == 0 ? perWorker : Math.min(perWorker, limit);
          widest = Math.max(widest, (count + allowed - 1) / allowed);
        }
      }
    }
    return widest;
  }

  /** Returns how many tasks of one size a worker holds. */
  private static int tasksPerWorker(Resources task, Resources workerSize) {
    long byCpu = workerSize.cpuMillis() / Math.max(1, task.cpuMillis());
    long byMemory = workerSize.memoryMb() / Math.max(1, task.memoryMb());
    return (int) Math.min(Integer.MAX_VALUE, Math.min(byCpu, byMemory));
  }

  private static PoolDemand longRunningDemand(Step step, Optional<Resources> workerSize) {
    int limit = step.spec.maxPerWorker();
    int minWorkers = limit == 0 ? 1 : (step.spec.count() + limit - 1) / limit;
    double fraction =
        workerSize
            .map(size -> 1.0 / Math.max(1, tasksPerWorker(step.spec.reserved(), size)))
            .orElse(0.0);
    return new PoolDemand(0, step.spec.count() * fraction, minWorkers);
  }

  private static PoolDemand add(PoolDemand first, PoolDemand second) {
    return new PoolDemand(
        first.batchWorkers() + second.batchWorkers(),
        first.runnableWorkers() + second.runnableWorkers(),
        first.longRunningWorkers() + second.longRunningWorkers(),
        Math.max(first.minWorkers(), second.minWorkers()),
        Math.max(first.gangWorkers(), second.gangWorkers()));
  }
}
