package org.laburnumarch.internal.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

  private final CandidateRanking ranking;
  private final RunTimes runTimes;
  private final Map<String, ArrivalRate> arrivalsByService = new HashMap<>();

  DemandEstimator(CandidateRanking ranking, RunTimes runTimes) {
    this.ranking = ranking;
    this.runTimes = runTimes;
  }

  /** Adds an accepted job to the rate of arrivals. Long-running and timed jobs are left out. */
  void recordArrival(Job job, QueueConfig queue, Resources workerSize, long nowMs) {
    if (job.spec.isLongRunning() || job.spec.isTimed()) {
      return;
    }
    double workerTimeMs = 0;
    for (var step : job.spec.steps()) {
      workerTimeMs +=
          step.count()
              * runTimes.expectedMs(queue.name(), step)
              * fractionOfWorker(step.need(), workerSize);
    }
    arrivalsByService
        .computeIfAbsent(queue.service(), service -> new ArrivalRate())
        .add(workerTimeMs, nowMs);
  }

  /** Returns the number of workers that the current rate of arrivals keeps busy. */
  private double arrivalWorkers(String service, long nowMs) {
    ArrivalRate rate = arrivalsByService.get(service);
    return rate == null ? 0 : rate.perMs(nowMs);
  }

  /**
   * Returns the number of workers that the unfinished steps of an occurrence need to meet its
   * objective.
   */
  private double workersFor(
      List<Step> steps, QueueConfig queue, Resources workerSize, long nowMs, long epochMs) {
    double workMs = 0;
    for (Step step : steps) {
      if (step.spec.isLongRunning()) {
        continue;
      }
      int unfinished = step.tasks.size() - step.doneCount;
      workMs +=
          unfinished
              * step.predict(runTimes).expectedMs()
              * fractionOfWorker(step.spec.need(), workerSize);
    }
    if (workMs == 0) {
      return 0;
    }
    CandidateRanking.Candidate candidate =
        ranking.candidate(steps.get(0), steps, queue, nowMs, epochMs);
    double chainMs = Math.max(1, ranking.chainMs(steps, true));
    double plannedMs =
        Math.max(chainMs, PLANNED_TIME_FRACTION * (candidate.deadlineAtMs() - nowMs));
    double weight = candidate.rank() == CandidateRanking.Rank.LATE ? LATE_WORK_WEIGHT : 1;
    return weight * workMs / plannedMs;
  }

  /**
   * Returns the fraction of a worker that an amount takes, by the scarcer of processor and memory.
   */
  static double fractionOfWorker(Resources amount, Resources workerSize) {
    double cpu = (double) amount.cpuMillis() / Math.max(1, workerSize.cpuMillis());
    double memory = (double) amount.memoryMb() / Math.max(1, workerSize.memoryMb());
    return Math.max(cpu, memory);
  }

  /** Returns the current demand on each pool, by service. */
  Map<String, PoolDemand> demands(
      Collection<Job> jobs,
      FleetConfig config,
      Function<String, Resources> workerSize,
      long nowMs,
      long epochMs) {
    Map<String, PoolDemand> demands = new HashMap<>();
    for (String service : config.services().keySet()) {
      demands.put(service, new PoolDemand(arrivalWorkers(service, nowMs), 0, 0));
    }
    Map<String, Double> waiting = new HashMap<>();
    for (Job job : jobs) {
      Optional<QueueConfig> queue = config.queue(job.spec.queue());
      if (job.status.isFinal() || queue.isEmpty()) {
        continue;
      }
      String service = queue.get().service();
      Resources size = workerSize.apply(service);
      for (List<Step> steps : job.occurrences.values()) {
        waiting.merge(service, workersFor(steps, queue.get(), size, nowMs, epochMs), Double::sum);
        for (Step step : steps) {
          if (step.spec.isLongRunning()) {
            demands.merge(service, longRunningDemand(step, size), DemandEstimator::add);
          }
        }
      }
    }
    waiting.forEach(
        (service, need) ->
            demands.merge(
                service,
                new PoolDemand(need, 0, 0),
                (first, second) ->
                    new PoolDemand(
                        Math.max(first.batchWorkers(), second.batchWorkers()),
                        first.longRunningWorkers(),
                        first.minWorkers())));
    return demands;
  }

  private static PoolDemand longRunningDemand(Step step, Resources size) {
    int limit = step.spec.maxPerWorker();
    int minWorkers = limit == 0 ? 1 : (step.spec.count() + limit - 1) / limit;
    return new PoolDemand(
        0, step.spec.count() * fractionOfWorker(step.spec.reserved(), size), minWorkers);
  }

  private static PoolDemand add(PoolDemand first, PoolDemand second) {
    return new PoolDemand(
        first.batchWorkers() + second.batchWorkers(),
        first.longRunningWorkers() + second.longRunningWorkers(),
        Math.max(first.minWorkers(), second.minWorkers()));
  }
}
