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

/**
 * Measures how many workers each pool needs now, in workers of its ordinary size. Answers demand
 * that jumps to several times its mean within a second: what waits counts at the pace at which it
 * has to run to be in time, and what arrives counts before it waits.
 */
final class DemandMeter {

  /** Jobs that the window of the average holds at the present rate of arrivals. */
  private static final double WINDOW_JOBS = 4;

  private static final double SHORTEST_WINDOW_MS = 400;
  private static final double LONGEST_WINDOW_MS = 2_000;

  /** Weight of the newest gap between arrivals in their moving average. */
  private static final double GAP_WEIGHT = 0.3;

  /** Part of the time to its objective that a job is planned to take. */
  private static final double PLANNED_TIME_SHARE = 0.6;

  /** Weight of work that is late already. */
  private static final double LATE_WEIGHT = 0.3;

  /** A moving average whose window shortens when jobs come in quick succession. */
  private record Arrivals(double workers, double gapMs, long atMs) {

    private double windowMs() {
      return Math.min(LONGEST_WINDOW_MS, Math.max(SHORTEST_WINDOW_MS, WINDOW_JOBS * gapMs));
    }

    double workersAt(long nowMs) {
      return workers * Math.exp(-(nowMs - atMs) / windowMs());
    }

    Arrivals plus(double workersMs, long nowMs) {
      double newGapMs = gapMs + GAP_WEIGHT * (nowMs - atMs - gapMs);
      Arrivals next = new Arrivals(workersAt(nowMs), newGapMs, nowMs);
      return new Arrivals(next.workers + workersMs / next.windowMs(), newGapMs, nowMs);
    }
  }

  private final JobOrder jobOrder;
  private final RunTimes runTimes;
  private final Map<String, Arrivals> arrivals = new HashMap<>();

  DemandMeter(JobOrder jobOrder, RunTimes runTimes) {
    this.jobOrder = jobOrder;
    this.runTimes = runTimes;
  }

  /** Counts a job that has been accepted. */
  void noteArrival(Job job, QueueConfig queue, Resources workerSize, long nowMs) {
    if (job.spec.isLongRunning() || job.spec.isTimed()) {
      return;
    }
    double workersMs = 0;
    for (var step : job.spec.steps()) {
      workersMs +=
          step.count() * runTimes.expectedMs(queue.name(), step) * share(step.need(), workerSize);
    }
    Arrivals before =
        arrivals.getOrDefault(queue.service(), new Arrivals(0, LONGEST_WINDOW_MS, nowMs));
    arrivals.put(queue.service(), before.plus(workersMs, nowMs));
  }

  /** Returns the workers that the present rate of arrivals keeps busy. */
  private double arrivalWorkers(String service, long nowMs) {
    Arrivals seen = arrivals.get(service);
    return seen == null ? 0 : seen.workersAt(nowMs);
  }

  /** Returns the workers that the open steps of an occurrence need to be done in time. */
  private double workersFor(
      List<Step> steps, QueueConfig queue, Resources workerSize, long nowMs, long epochMs) {
    double workMs = 0;
    for (Step step : steps) {
      if (step.spec.isLongRunning()) {
        continue;
      }
      int open = step.tasks.size() - step.doneCount;
      workMs +=
          open * runTimes.expectedMs(queue.name(), step.spec) * share(step.spec.need(), workerSize);
    }
    if (workMs == 0) {
      return 0;
    }
    JobOrder.Candidate candidate = jobOrder.candidate(steps.get(0), steps, queue, nowMs, epochMs);
    double chainMs = Math.max(1, jobOrder.chainMs(steps, queue, true));
    double plannedMs = Math.max(chainMs, PLANNED_TIME_SHARE * (candidate.dueMs() - nowMs));
    double weight = candidate.rank() == JobOrder.Rank.LATE ? LATE_WEIGHT : 1;
    return weight * workMs / plannedMs;
  }

  /** Returns the part of a worker that an amount takes. */
  static double share(Resources amount, Resources workerSize) {
    double cpu = (double) amount.cpuMillis() / Math.max(1, workerSize.cpuMillis());
    double memory = (double) amount.memoryMb() / Math.max(1, workerSize.memoryMb());
    return Math.max(cpu, memory);
  }

  /** Returns what each pool needs now. */
  Map<String, PoolDemand> demands(
      Collection<Job> jobs,
      FleetConfig config,
      Function<String, Resources> workerSize,
      long nowMs,
      long epochMs) {
    Map<String, PoolDemand> demands = new HashMap<>();
    for (String service : config.services().keySet()) {
      demands.put(service, new PoolDemand(0.8 * arrivalWorkers(service, nowMs), 0, 0));
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
            demands.merge(service, lasting(step, size), DemandMeter::add);
          }
        }
      }
    }
    waiting.forEach(
        (service, need) ->
            demands.merge(
                service,
                new PoolDemand(need, 0, 0),
                (known, more) ->
                    new PoolDemand(
                        Math.max(known.shortWorkers(), more.shortWorkers()),
                        known.lastingWorkers(),
                        known.spread())));
    return demands;
  }

  private static PoolDemand lasting(Step step, Resources size) {
    int limit = step.spec.maxPerWorker();
    int spread = limit == 0 ? 1 : (step.spec.count() + limit - 1) / limit;
    return new PoolDemand(0, step.spec.count() * share(step.spec.reserved(), size), spread);
  }

  private static PoolDemand add(PoolDemand known, PoolDemand more) {
    return new PoolDemand(
        known.shortWorkers() + more.shortWorkers(),
        known.lastingWorkers() + more.lastingWorkers(),
        Math.max(known.spread(), more.spread()));
  }
}
