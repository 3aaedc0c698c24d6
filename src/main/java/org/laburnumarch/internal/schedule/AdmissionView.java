package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;
import org.laburnumarch.internal.admission.PoolBacklog;
import org.laburnumarch.internal.admission.PoolBacklog.WaitingJob;
import org.laburnumarch.internal.admission.Submission;
import org.laburnumarch.internal.admission.Work;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.QueueConfig;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.runtime.RunTimes;
import org.laburnumarch.internal.schedule.CandidateRanking.Candidate;
import org.laburnumarch.internal.schedule.CandidateRanking.Rank;
import org.laburnumarch.internal.share.TeamShares;

/** Sums up for admission what is ahead of a new job. */
final class AdmissionView {

  /** Time for which the summary of a pool is used; at full load, several jobs arrive in it. */
  private static final long BACKLOG_VALIDITY_MS = 50;

  /** A team that may not use this much more is at its limit, and its work waits for its own. */
  private static final Resources ONE_CORE = new Resources(1_000, 1_000, 0);

  private record Summary(long atMs, PoolBacklog backlog) {}

  private final Collection<Job> liveJobs;
  private final CandidateRanking ranking;
  private final RunTimes runTimes;
  private final TeamShares shares;
  private final TeamUsage teamUsage;
  private final Map<String, Summary> summaries = new HashMap<>();

  AdmissionView(
      Collection<Job> liveJobs,
      CandidateRanking ranking,
      RunTimes runTimes,
      TeamShares shares,
      TeamUsage teamUsage) {
    this.liveJobs = liveJobs;
    this.ranking = ranking;
    this.runTimes = runTimes;
    this.shares = shares;
    this.teamUsage = teamUsage;
  }

  /**
   * Returns what admission needs to know of a job; empty if the job has to be accepted, because its
   * pool has room, or is not known yet, or because the job runs long or at times of its own.
   *
   * @param projectedSize the number of workers that a pool has or will have soon; empty if unknown
   */
  Optional<Submission> submission(
      JobSpec spec,
      FleetConfig config,
      List<Worker> pool,
      Function<String, OptionalInt> projectedSize,
      long nowMs,
      long epochMs) {
    Optional<QueueConfig> queue = config.queue(spec.queue());
    if (queue.isEmpty()
        || spec.isLongRunning()
        || spec.isTimed()
        || !shares.weights().isPresent()
        || !shares.pool(queue.get().service()).isFull(nowMs)
        || pool.isEmpty()
        || pool.stream().anyMatch(worker -> !worker.isFenced)) {
      return Optional.empty();
    }
    String service = queue.get().service();
    OptionalInt size = projectedSize.apply(service);
    if (size.isEmpty()) {
      return Optional.empty();
    }
    Summary summary = summaries.get(service);
    if (summary == null || nowMs - summary.atMs() >= BACKLOG_VALIDITY_MS) {
      int coming = Math.max(0, size.getAsInt() - pool.size());
      summary = new Summary(nowMs, backlog(service, config, pool, coming, nowMs, epochMs));
      summaries.put(service, summary);
    }
    PoolBacklog backlog = summary.backlog();
    if (backlog.room().cpuMillis() <= 0 || backlog.room().memoryMb() <= 0) {
      return Optional.empty();
    }
    Job job = new Job(spec, nowMs, false);
    job.addDueOccurrences(epochMs);
    List<Step> steps = job.occurrences.firstEntry().getValue();
    if (steps.stream().anyMatch(step -> !canRun(step, pool))) {
      return Optional.empty();
    }
    double chainMs = ranking.chainMs(steps, false);
    double objectiveMs = queue.get().stretch() * chainMs + queue.get().latencyTargetMs();
    Work work = Work.NONE;
    for (Step step : steps) {
      work = work.plus(unstartedWork(step, queue.get()));
    }
    WaitingJob waiting =
        new WaitingJob(
            spec.team(), queue.get().priority(), false, false, false, nowMs + objectiveMs, work);
    return Optional.of(
        new Submission(
            spec.id(),
            service,
            waiting,
            chainMs,
            objectiveMs,
            shares.credit(spec.team(), nowMs),
            shares.weights(),
            backlog));
  }

  private PoolBacklog backlog(
      String service, FleetConfig config, List<Worker> pool, int coming, long nowMs, long epochMs) {
    Resources room = pool.get(0).listing.capacity().times(coming);
    Work running = Work.NONE;
    double longestTaskMs = 0;
    for (Worker worker : pool) {
      room = room.plus(worker.listing.capacity());
      for (Attempt attempt : worker.attempts.values()) {
        Step step = attempt.task.step;
        if (step.spec.isLongRunning()) {
          room = room.minus(attempt.reserved);
        } else {
          double expectedMs = runTimes.expectedMs(step.job.spec.queue(), step.spec);
          double leftMs = Math.max(0, expectedMs - (nowMs - attempt.orderedAtMs));
          running = running.plus(Work.of(attempt.reserved, leftMs));
          longestTaskMs = Math.max(longestTaskMs, expectedMs);
        }
      }
    }
    List<WaitingJob> waiting = new ArrayList<>();
    for (Job job : liveJobs) {
      Optional<QueueConfig> queue = config.queue(job.spec.queue());
      if (job.status.isFinal()
          || job.spec.isLongRunning()
          || !teamUsage.allows(config, job.spec.team(), ONE_CORE, Resources.NONE)
          || queue.isEmpty()
          || !queue.get().service().equals(service)) {
        continue;
      }
      for (List<Step> steps : job.occurrences.values()) {
        // Steps that cannot start are left out: a new job may well go before them.
        Work work = Work.NONE;
        for (Step step : steps) {
          if (!step.isDone() && Job.areDependenciesDone(step, steps) && canRun(step, pool)) {
            work = work.plus(unstartedWork(step, queue.get()));
            longestTaskMs =
                Math.max(longestTaskMs, runTimes.expectedMs(queue.get().name(), step.spec));
          }
        }
        if (work.equals(Work.NONE)) {
          continue;
        }
        Candidate candidate = ranking.candidate(steps.get(0), steps, queue.get(), nowMs, epochMs);
        waiting.add(
            new WaitingJob(
                job.spec.team(),
                queue.get().priority(),
                candidate.rank() == Rank.LATE,
                job.hasStarted,
                job.isAgreed,
                candidate.deadlineAtMs(),
                work));
      }
    }
    return new PoolBacklog(room, running, longestTaskMs, waiting, shares.pool(service).debts());
  }

  /** Returns whether any worker of a pool is large enough for a task and has its label. */
  private static boolean canRun(Step step, List<Worker> pool) {
    String label = step.spec.requiredLabel();
    return pool.stream()
        .map(worker -> worker.listing)
        .anyMatch(
            listing ->
                listing.capacity().holds(step.spec.need())
                    && (label.isEmpty() || listing.labels().contains(label)));
  }

  private Work unstartedWork(Step step, QueueConfig queue) {
    int count = 0;
    for (Task task : step.tasks) {
      count += task.isDone || task.attempt != null ? 0 : 1;
    }
    return Work.of(step.spec.reserved().times(count), runTimes.expectedMs(queue.name(), step.spec));
  }
}
