package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.JobProgress;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.QueueConfig;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.pool.PoolDemand;
import org.laburnumarch.internal.schedule.JobOrder.Candidate;

/**
 * All decisions of the owner on jobs and workers. Not thread-safe; no I/O; every call names the
 * local time, which never goes back.
 */
public final class Scheduler {

  private static final long CHECK_RUNS_EVERY_MS = 1_000;

  private final SchedulerSettings settings;
  private final long term;
  private final Takeover takeover;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Job> liveJobs = new LinkedHashMap<>();
  private final WorkerTable workers = new WorkerTable();
  private final TeamUse teamUse = new TeamUse();
  private final ChangeLog changes = new ChangeLog();
  private final RunTimes runTimes = new RunTimes();
  private final Tickets tickets = new Tickets();
  private final TeamRates teamRates = new TeamRates();
  private final JobOrder jobOrder = new JobOrder(runTimes);
  private final DemandMeter demand = new DemandMeter(jobOrder, runTimes);
  private final Stragglers stragglers = new Stragglers(runTimes);
  private long checkedRunsAtMs;
  private final RunBook runs;
  private FleetConfig config = FleetConfig.EMPTY;
  private Set<String> evacuated = Set.of();
  private long storedChange;

  /** Local time at which this owner was the newest one for certain. */
  private long ownedAtMs;

  /**
   * Creates a scheduler without jobs.
   *
   * @param settings times that the platform sets
   * @param term the owner's term; higher than that of every earlier owner
   * @param nowMs local time of the take-over
   * @param hadEarlierOwner whether another process may have given orders before
   */
  public Scheduler(SchedulerSettings settings, long term, long nowMs, boolean hadEarlierOwner) {
    this.settings = settings;
    this.term = term;
    this.ownedAtMs = nowMs;
    this.takeover = new Takeover(settings, nowMs, hadEarlierOwner);
    this.runs = new RunBook(jobs, teamUse, changes, runTimes, queue -> this.config.queue(queue));
  }

  /** Takes up a configuration. */
  public void configure(FleetConfig newConfig) {
    this.config = newConfig;
  }

  /** Takes up the set of data centres that are out of service. */
  public void evacuate(Set<String> dataCentres) {
    this.evacuated = Set.copyOf(dataCentres);
  }

  /** Takes up what the registry lists. */
  public void listWorkers(Collection<WorkerListing> listings, long nowMs) {
    workers.list(listings);
    for (WorkerListing listing : listings) {
      runs.noteIncarnation(workers.find(listing.id()), listing.startedEpochMs(), nowMs);
    }
  }

  /**
   * Notes that the earlier owner has surely stopped giving orders.
   *
   * @param earlierClaimedAtMs local time at which the earlier owner claimed
   */
  public void onEarlierOwnerStopped(long earlierClaimedAtMs, long nowMs) {
    takeover.onEarlierOwnerStopped(earlierClaimedAtMs, nowMs);
  }

  /** Takes up a worker that an earlier owner may have given orders to. */
  public void restoreEnrolled(WorkerListing listing) {
    workers.addEnrolled(listing);
  }

  /** Returns all workers that must be stored as enrolled before anything starts on them. */
  public List<WorkerListing> enrolment() {
    return workers.all().stream().map(worker -> worker.listing).toList();
  }

  /** Returns whether a worker is known whose enrolment has not been stored. */
  public boolean needsEnrolment() {
    return workers.all().stream().anyMatch(worker -> !worker.isEnrolled);
  }

  /** Confirms that an enrolment has been stored. */
  public void confirmEnrolment(Collection<WorkerListing> stored) {
    for (WorkerListing listing : stored) {
      Worker worker = workers.find(listing.id());
      if (worker != null) {
        worker.isEnrolled = true;
      }
    }
  }

  /** Takes up a job that an earlier owner stored. */
  public void restore(JobSpec spec, Optional<JobProgress> progress, long nowMs, long epochMs) {
    long ageMs = Math.max(0, epochMs - spec.submittedEpochMs());
    Job job = new Job(spec, nowMs - ageMs, true);
    progress.ifPresent(stored -> job.restore(stored, epochMs));
    // Workers may report before the first decision, and their runs must find their tasks.
    if (!job.status.isFinal()) {
      job.openOccurrences(epochMs);
    }
    add(job);
  }

  /** Takes up a job of which only the final status is left. */
  public void restoreFinal(JobProgress progress, long nowMs) {
    JobSpec spec = new JobSpec(progress.id(), "", "", "", List.of(), 0, 0, 0, 0);
    Job job = new Job(spec, nowMs, true);
    job.status = progress.status();
    job.shownStatus = progress.status();
    job.finalAtMs = nowMs;
    add(job);
  }

  private void add(Job job) {
    jobs.put(job.spec.id(), job);
    if (!job.shownStatus.isFinal()) {
      liveJobs.put(job.spec.id(), job);
    }
  }

  /**
   * Notes that no later owner existed at a local time. What an earlier grant has surely ended by is
   * judged as of that time, because a later owner may prolong it.
   */
  public void onOwnershipProven(long atMs) {
    ownedAtMs = Math.max(ownedAtMs, atMs);
  }

  /** Returns whether a job with this id has been accepted. */
  public boolean knows(String jobId) {
    return jobs.containsKey(jobId);
  }

  /** Takes up a job whose record has been stored. */
  public void accept(JobSpec spec, long nowMs) {
    Job job = new Job(spec, nowMs, false);
    job.isSurplus = !teamRates.isWithinShare(config.team(spec.team()), nowMs);
    add(job);
    config
        .queue(spec.queue())
        .ifPresent(queue -> demand.noteArrival(job, queue, workerSize(queue.service()), nowMs));
  }

  /** Returns what callers are told of a job; empty if it is not known. */
  public Optional<JobStatus> status(String jobId) {
    return Optional.ofNullable(jobs.get(jobId)).map(Scheduler::shownStatus);
  }

  private static JobStatus shownStatus(Job job) {
    if (job.shownStatus.isFinal()) {
      return job.shownStatus;
    }
    return job.hasStarted ? JobStatus.RUNNING : JobStatus.QUEUED;
  }

  /** Returns the number of jobs that are not finished. */
  public int liveJobCount() {
    return liveJobs.size();
  }

  /** Returns the number of a queue's accepted jobs of which nothing has started. */
  public int waitingJobs(String queue) {
    int count = 0;
    for (Job job : liveJobs.values()) {
      if (job.spec.queue().equals(queue) && !job.hasStarted && !job.status.isFinal()) {
        count++;
      }
    }
    return count;
  }

  /**
   * Cancels a job.
   *
   * @return number of the change that must be stored before it is confirmed; empty if the job is
   *     not known; 0 if nothing needs to be stored
   */
  public Optional<Long> cancel(String jobId) {
    Job job = jobs.get(jobId);
    if (job == null) {
      return Optional.empty();
    }
    if (!job.status.isFinal()) {
      runs.finish(job, JobStatus.CANCELLED);
    }
    return Optional.of(job.shownStatus.isFinal() ? 0 : changes.note(job));
  }

  /** Returns progress that waits to be stored; empty if there is none. */
  public Optional<JobChanges> takeChanges() {
    return changes.isEmpty() ? Optional.empty() : Optional.of(changes.take());
  }

  /** Returns whether progress waits to be stored. */
  public boolean hasChanges() {
    return !changes.isEmpty();
  }

  /** Confirms that changes have been stored; their effects may be shown now. */
  public void confirmStored(JobChanges stored, long nowMs) {
    storedChange = stored.number();
    for (JobProgress progress : stored.progress()) {
      Job job = jobs.get(progress.id());
      if (job != null) {
        job.shownStatus = progress.status();
        if (progress.status().isFinal() && job.finalAtMs < 0) {
          job.finalAtMs = nowMs;
        }
      }
    }
    workers.all().forEach(worker -> worker.acknowledge(storedChange));
  }

  /** Returns ids of jobs whose final status need not be known any more, and forgets them. */
  public List<String> forgetFinished(long nowMs) {
    List<String> forgotten = new ArrayList<>();
    liveJobs.values().removeIf(job -> job.shownStatus.isFinal() && !hasRuns(job));
    jobs.values()
        .removeIf(
            job -> {
              boolean isOver =
                  job.finalAtMs >= 0 && nowMs - job.finalAtMs > settings.statusKeptMs();
              if (isOver) {
                forgotten.add(job.spec.id());
              }
              return isOver;
            });
    return forgotten;
  }

  private static boolean hasRuns(Job job) {
    return job.occurrences.values().stream()
        .flatMap(List::stream)
        .flatMap(step -> step.tasks.stream())
        .anyMatch(task -> task.attempt != null);
  }

  /** Deals with the answer to a start. */
  public void onStartReply(Order.Start order, OrderReply reply, long nowMs) {
    Worker worker = workers.find(order.workerId());
    Attempt attempt = find(worker, order);
    if (worker != null) {
      worker.ordersInFlight--;
    }
    if (attempt != null) {
      runs.onStartReply(attempt, reply, nowMs);
    }
  }

  /** Deals with the answer to a stop. */
  public void onStopReply(Order.Stop order, OrderReply reply, long nowMs) {
    Attempt attempt = find(workers.find(order.workerId()), order);
    if (attempt != null) {
      runs.onStopReply(attempt, reply, nowMs);
    }
  }

  private static Attempt find(Worker worker, Order order) {
    return worker == null
        ? null
        : worker.attempts.get(Worker.attemptKey(order.taskName(), order.run()));
  }

  /** Deals with a worker's report; returns orders that follow from it. */
  public List<Order> onReport(String workerId, WorkerReport report, long nowMs) {
    Worker worker = workers.find(workerId);
    if (worker == null) {
      return List.of();
    }
    List<Order> strays = runs.onReport(worker, report, nowMs);
    worker.acknowledge(storedChange);
    return strays;
  }

  /** Deals with a report that did not come. */
  public void onReportMissed(String workerId, long nowMs) {
    Worker worker = workers.find(workerId);
    if (worker != null) {
      worker.missedReports++;
      worker.lastReportTryMs = nowMs;
      // What it acknowledged may not have arrived.
      worker.sentAcknowledgement = 0;
    }
  }

  /** Takes up tickets of the advisory service. */
  public void onAdvice(String stepName, Map<String, String> byWorker, long validityMs, long nowMs) {
    tickets.answer(stepName, byWorker, validityMs, nowMs);
  }

  /** Notes that the advisory service gave no answer. */
  public void onAdviceMissed(String stepName, long nowMs) {
    tickets.refuse(stepName, nowMs);
  }

  /** Returns the renewal that a worker should get now; empty if it needs none. */
  public Optional<Renewal> renewal(String workerId, long nowMs) {
    Worker worker = workers.find(workerId);
    return worker == null ? Optional.empty() : Renewals.decide(worker, settings, nowMs);
  }

  /**
   * Returns a report to ask for beside the one that waits at a worker, because a start without an
   * answer has been stopped there and its task waits for the word that it does not run.
   */
  public Optional<Renewal> peek(String workerId) {
    Worker worker = workers.find(workerId);
    boolean isWanted =
        worker != null
            && worker.attempts.values().stream()
                .anyMatch(
                    attempt ->
                        attempt.phase == Attempt.Phase.UNANSWERED && attempt.isStopConfirmed);
    return isWanted ? Optional.of(new Renewal(worker.id, -1, 0, 0)) : Optional.empty();
  }

  /** Returns the ids of all workers that are known. */
  public List<String> workerIds() {
    return workers.all().stream().map(worker -> worker.id).toList();
  }

  /** Returns a worker's listing; empty if it is not known. */
  public Optional<WorkerListing> listing(String workerId) {
    return Optional.ofNullable(workers.find(workerId)).map(worker -> worker.listing);
  }

  /** Returns what runs on each worker that is listed. */
  public List<WorkerLoad> workerLoads(long nowMs) {
    List<WorkerLoad> loads = new ArrayList<>();
    for (Worker worker : workers.all()) {
      if (worker.isListed) {
        int lasting = worker.lastingRuns();
        loads.add(
            new WorkerLoad(
                worker.id,
                worker.listing.service(),
                worker.isFenced && worker.isEnrolled && !worker.listing.isDraining(),
                worker.attempts.size() - lasting,
                lasting,
                DemandMeter.share(worker.reserved, worker.listing.capacity())));
      }
    }
    return loads;
  }

  /** Takes up the workers on which nothing may start, because their instances are to go. */
  public void cordon(Set<String> workerIds) {
    workers.all().forEach(worker -> worker.isCordoned = workerIds.contains(worker.id));
  }

  /**
   * Stops lasting tasks of a worker, as far as the budgets of their steps allow and as far as
   * another worker can take them at once.
   */
  public void vacate(String workerId, long nowMs) {
    Worker worker = workers.find(workerId);
    if (worker == null || worker.lastingRuns() == 0) {
      return;
    }
    Placement placement =
        new Placement(
            workers.pool(worker.listing.service()), evacuated, settings.remotePenalty(), nowMs);
    for (Attempt attempt : worker.attempts.values()) {
      Step step = attempt.task.step;
      if (step.spec.isLongRunning()
          && attempt.isAtWork()
          && mayInterrupt(step)
          && placement.hasRoom(attempt.task)) {
        attempt.isStopWanted = true;
      }
    }
  }

  /** Returns whether one more task of a step may become unavailable by the system's doing. */
  private static boolean mayInterrupt(Step step) {
    int unavailable = step.unavailableCount();
    return step.spec.maxUnavailable() == 0
        ? unavailable == 0
        : unavailable < step.spec.maxUnavailable();
  }

  /** Returns what each pool needs now. */
  public Map<String, PoolDemand> demands(long nowMs, long epochMs) {
    return demand.demands(liveJobs.values(), config, this::workerSize, nowMs, epochMs);
  }

  /** Returns the capacity of a pool's workers, or of any worker if it has none. */
  private Resources workerSize(String service) {
    List<Worker> pool = workers.pool(service);
    Collection<Worker> sample = pool.isEmpty() ? workers.all() : pool;
    return sample.stream()
        .findFirst()
        .map(worker -> worker.listing.capacity())
        .orElse(new Resources(1, 1, 1));
  }

  /** Decides what to start, stop and slow down now. */
  public Decisions decide(long nowMs, long epochMs) {
    for (Worker worker : workers.all()) {
      if (worker.missedReports > 0 && worker.isLeaseOver(ownedAtMs)) {
        runs.closeAll(worker);
      }
    }
    workers.forgetGone(ownedAtMs, takeover.isOver(ownedAtMs));
    if (nowMs - checkedRunsAtMs >= CHECK_RUNS_EVERY_MS) {
      checkedRunsAtMs = nowMs;
      workers.all().forEach(worker -> worker.health.fade());
    }
    for (Worker worker : workers.all()) {
      stragglers.check(worker, nowMs);
    }
    List<Order> orders = new ArrayList<>();
    List<AdviceQuery> queries = new ArrayList<>();
    stopUnwanted(orders, nowMs);
    startWaiting(orders, queries, nowMs, epochMs);
    return new Decisions(orders, queries);
  }

  private void stopUnwanted(List<Order> orders, long nowMs) {
    for (Worker worker : workers.all()) {
      for (Attempt attempt : worker.attempts.values()) {
        if (attempt.isStopWanted
            && !attempt.isStopConfirmed
            && !attempt.isStopInFlight
            && attempt.phase != Attempt.Phase.ORDERED
            && attempt.nextStopAtMs <= nowMs) {
          attempt.isStopInFlight = true;
          orders.add(new Order.Stop(worker.id, attempt.task.key.wireName(), attempt.run));
        }
      }
    }
  }

  private void startWaiting(
      List<Order> orders, List<AdviceQuery> queries, long nowMs, long epochMs) {
    Map<String, List<Candidate>> byService = new HashMap<>();
    Map<String, Resources> unseenByTeam = new HashMap<>();
    for (Job job : liveJobs.values()) {
      if (!job.status.isFinal()) {
        collect(job, byService, unseenByTeam, nowMs, epochMs);
      }
    }
    StartRound.Context context =
        new StartRound.Context(
            config, settings, term, runs, teamUse, tickets, unseenByTeam, orders, queries, nowMs);
    byService.forEach(
        (service, candidates) -> {
          candidates.sort(JobOrder.ORDER);
          List<Worker> pool = workers.pool(service);
          Placement placement = new Placement(pool, evacuated, settings.remotePenalty(), nowMs);
          new StartRound(context, placement).run(candidates, pool);
        });
  }

  private void collect(
      Job job,
      Map<String, List<Candidate>> byService,
      Map<String, Resources> unseenByTeam,
      long nowMs,
      long epochMs) {
    Optional<QueueConfig> queue = config.queue(job.spec.queue());
    if (queue.isEmpty()) {
      return;
    }
    job.openOccurrences(epochMs);
    String service = queue.get().service();
    if (job.isInherited && takeover.isBlocked(workers.pool(service), ownedAtMs)) {
      unseenByTeam.merge(job.spec.team(), takeover.unseen(job), Resources::plus);
      return;
    }
    for (List<Step> steps : job.occurrences.values()) {
      for (Step step : steps) {
        if (!step.isDone() && Job.isUnlocked(step, steps) && hasStartable(step, nowMs)) {
          byService
              .computeIfAbsent(service, name -> new ArrayList<>())
              .add(jobOrder.candidate(step, steps, queue.get(), nowMs, epochMs));
        }
      }
    }
  }

  private static boolean hasStartable(Step step, long nowMs) {
    for (Task task : step.tasks) {
      if (task.isStartable(nowMs)) {
        return true;
      }
    }
    return false;
  }
}
