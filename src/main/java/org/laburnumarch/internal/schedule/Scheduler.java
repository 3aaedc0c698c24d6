package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.laburnumarch.internal.admission.Submission;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.JobProgress;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.QueueConfig;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.TaskKey;
import org.laburnumarch.internal.pacing.StartLimits;
import org.laburnumarch.internal.pool.PoolDemand;
import org.laburnumarch.internal.runtime.RunTimes;
import org.laburnumarch.internal.schedule.CandidateRanking.Candidate;
import org.laburnumarch.internal.schedule.RunLocations.Incarnation;
import org.laburnumarch.internal.share.TeamShares;

/**
 * Makes all decisions of the owner about jobs and workers. Not thread-safe and without I/O.
 *
 * <p>The time is passed to each call in milliseconds: {@code nowMs} is the local time, which must
 * never go back, and {@code epochMs} the time of day in Unix milliseconds.
 */
public final class Scheduler {

  private static final long SLOWNESS_DECAY_INTERVAL_MS = 1_000;

  private static final Comparator<Worker> FIRST_REPORT_ORDER =
      Comparator.<Worker, Boolean>comparing(worker -> worker.missedReports > 0)
          .thenComparing(worker -> worker.lastReportAttemptMs);

  private final SchedulerSettings settings;
  private final long term;
  private final TakeoverGuard takeoverGuard;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Job> liveJobs = new LinkedHashMap<>();
  private final EarlyCancellations earlyCancellations = new EarlyCancellations();
  private final WorkerTable workers = new WorkerTable();
  private final TeamUsage teamUsage = new TeamUsage();
  private final PendingChanges changes = new PendingChanges();
  private final FirstReportWindow firstReports = new FirstReportWindow();
  private final RunTimes runTimes = new RunTimes();
  private final Tickets adviceTickets = new Tickets();
  private final TeamShares shares = new TeamShares();
  private final ShareOrder shareOrder = new ShareOrder(shares);
  private final CandidateRanking ranking = new CandidateRanking(runTimes);
  private final DemandEstimator demandEstimator = new DemandEstimator(ranking, runTimes);
  private final StragglerDetector stragglerDetector;
  private final AdmissionView admissionView =
      new AdmissionView(liveJobs.values(), ranking, runTimes, shares, teamUsage);
  private long slownessDecayedAtMs;
  private final RunTracker runTracker;
  private FleetConfig config = FleetConfig.EMPTY;
  private StartLimits startLimits = StartLimits.FIXED;
  private Set<String> outOfServiceDataCentres = Set.of();
  private long storedBatchNumber;
  private final long ownedSinceMs;

  /** The choices of workers in the last round, by service. */
  private Map<String, Placement> placements = Map.of();

  /** The most that each team may have running on workers that have not reported yet. */
  private Map<String, Resources> unreportedByTeam = Map.of();

  /** Latest local time at which this process is known to have been the owner. */
  private long ownershipProvenAtMs;

  /**
   * Creates a scheduler without jobs.
   *
   * @param settings the platform's time limits
   * @param term the owner's term; higher than that of every earlier owner
   * @param nowMs local time of the takeover
   * @param hadEarlierOwner whether another process may have given orders before
   */
  public Scheduler(SchedulerSettings settings, long term, long nowMs, boolean hadEarlierOwner) {
    this.settings = settings;
    this.term = term;
    this.ownedSinceMs = nowMs;
    this.ownershipProvenAtMs = nowMs;
    this.takeoverGuard = new TakeoverGuard(settings, nowMs, hadEarlierOwner);
    RunTimeLearner learner = new RunTimeLearner(runTimes, settings.remoteSlowdownFactor());
    this.stragglerDetector = new StragglerDetector(runTimes, learner);
    this.runTracker =
        new RunTracker(
            jobs,
            teamUsage,
            changes,
            learner,
            queue -> this.config.queue(queue),
            hadEarlierOwner ? OptionalLong.of(settings.maxLeaseMs()) : OptionalLong.empty());
  }

  /** Returns what has been learnt about run times; it may be restored before the first job. */
  public RunTimes runTimes() {
    return runTimes;
  }

  /** Replaces the configuration. */
  public void configure(FleetConfig newConfig) {
    this.config = newConfig;
    shares.configure(newConfig);
  }

  /**
   * Returns what admission needs to know of a new job; empty if it has to be accepted.
   *
   * @param projectedSize the number of workers that a pool has or will have soon; empty if unknown
   */
  public Optional<Submission> submission(
      JobSpec spec, Function<String, OptionalInt> projectedSize, long nowMs, long epochMs) {
    String service = service(spec);
    Set<String> services = service.isEmpty() ? Set.of() : Set.of(service);
    return takeoverGuard.isBlocked(workers, services, ownershipProvenAtMs)
        ? Optional.empty()
        : admissionView.submission(
            spec, config, workers.pool(service), projectedSize, nowMs, epochMs);
  }

  /** Returns a submitted job as it must be stored, with the service that runs its tasks now. */
  public JobSpec withService(JobSpec spec) {
    return spec.withService(service(spec));
  }

  /** Returns the service that runs a job's tasks; empty if the job's queue is not configured. */
  private String service(JobSpec spec) {
    return config.queue(spec.queue()).map(QueueConfig::service).orElse("");
  }

  /** Returns the teams' shares of the pools. */
  public TeamShares shares() {
    return shares;
  }

  /** Sets the limits on the start orders that may be sent. */
  public void setStartLimits(StartLimits newStartLimits) {
    this.startLimits = newStartLimits;
  }

  /** Replaces the set of data centres that are out of service; nothing starts there. */
  public void setOutOfServiceDataCentres(Set<String> dataCentres) {
    this.outOfServiceDataCentres = Set.copyOf(dataCentres);
  }

  /** Replaces the workers' listings by those of the registry. */
  public void updateWorkerListings(Collection<WorkerListing> listings, long nowMs) {
    workers.updateListings(listings);
    boolean isAnyBack = false;
    for (WorkerListing listing : listings) {
      Worker worker = workers.find(listing.id());
      boolean wasTerminated = worker.isTerminated;
      runTracker.updateIncarnation(worker, listing.startedEpochMs(), nowMs);
      isAnyBack |= wasTerminated && !worker.isTerminated;
    }
    if (isAnyBack) {
      workers.rebuildPools();
    }
  }

  /**
   * Records the local time from which the owners before the earlier one send no orders, as the
   * earlier one has stored it.
   */
  public void onEarlierOrdersBounded(long overAtMs) {
    takeoverGuard.onEarlierOrdersBounded(overAtMs);
  }

  /** Returns the time in milliseconds for which earlier owners may still send orders. */
  public long earlierOrdersLeftMs(long nowMs) {
    return takeoverGuard.ordersLeftMs(nowMs);
  }

  /**
   * Records that the earlier owner has certainly stopped giving orders.
   *
   * @param earlierClaimedAtMs local time by which the earlier owner had claimed its ownership
   */
  public void onEarlierOwnerStopped(long earlierClaimedAtMs, long nowMs) {
    takeoverGuard.onEarlierOwnerStopped(earlierClaimedAtMs, nowMs);
  }

  /** Returns the work that waits because of the takeover, for each pool that has any. */
  public List<TakeoverWait> takeoverWaits() {
    Map<String, List<Task>> heldByService = new TreeMap<>();
    if (!takeoverGuard.isOver(workers, ownershipProvenAtMs)) {
      for (Job job : liveJobs.values()) {
        if (job.status.isFinal()) {
          continue;
        }
        config
            .queue(job.spec.queue())
            .ifPresent(
                queue ->
                    heldTasks(job)
                        .forEach(
                            task ->
                                heldByService
                                    .computeIfAbsent(queue.service(), name -> new ArrayList<>())
                                    .add(task)));
      }
    }
    List<TakeoverWait> waits = new ArrayList<>();
    heldByService.forEach(
        (service, held) -> {
          List<Worker> unreported =
              takeoverGuard.unreported(workers, Set.of(service), ownershipProvenAtMs);
          int ended = (int) unreported.stream().filter(worker -> worker.process.hasEnded()).count();
          waits.add(
              new TakeoverWait(
                  service,
                  held.size(),
                  unreported.size(),
                  awaitedWorkers(held),
                  ended,
                  takeoverGuard.overAtMs()));
        });
    return waits;
  }

  /** Returns the ids of the workers that may have an unreported run of any of some tasks. */
  private List<String> awaitedWorkers(List<Task> held) {
    Set<String> awaited = new TreeSet<>();
    held.stream()
        .filter(task -> task.earlierRun.isAnywhere())
        .map(task -> task.step.job.earlierServices())
        .distinct()
        .flatMap(
            services -> takeoverGuard.unreported(workers, services, ownershipProvenAtMs).stream())
        .forEach(worker -> awaited.add(worker.id));
    held.stream()
        .filter(task -> !task.earlierRun.isAnywhere())
        .flatMap(task -> takeoverGuard.unresolvedWorkers(task, workers, ownershipProvenAtMs))
        .forEach(worker -> awaited.add(worker.id));
    return List.copyOf(awaited);
  }

  /**
   * Returns the work that stands, and the steps that the last round left waiting. Must be called
   * right after a round of decisions.
   */
  public WaitSummary waits(long nowMs, long epochMs) {
    return new WaitSurvey(
            new WaitSurvey.State(
                liveJobs.values(),
                config,
                settings,
                workers,
                placements,
                takeoverGuard,
                teamUsage,
                unreportedByTeam,
                outOfServiceDataCentres,
                ownedSinceMs,
                ownershipProvenAtMs,
                nowMs,
                epochMs))
        .take();
  }

  /**
   * Returns the tasks of a job that an earlier owner may have left running. It may have known of
   * ends that are not stored, so a task that it named counts also if it seems not to be due yet.
   */
  private static Stream<Task> heldTasks(Job job) {
    return job.occurrences.values().stream()
        .flatMap(steps -> steps.stream().flatMap(step -> heldTasks(step, steps)));
  }

  private static Stream<Task> heldTasks(Step step, List<Step> siblings) {
    boolean isDue = Job.areDependenciesDone(step, siblings);
    return step.tasks.stream()
        .filter(task -> task.isHeld && (isDue || !task.earlierRun.isAnywhere()));
  }

  /**
   * Returns where the tasks of all unfinished jobs may be running, for the next owner. Valid as
   * long as this owner sends no more orders.
   */
  public RunLocations runLocations() {
    Map<TaskKey, Set<String>> workersByTask = new HashMap<>();
    for (Worker worker : workers.all()) {
      worker.attempts.values().stream()
          .map(attempt -> attempt.task.key)
          .forEach(key -> addLocation(workersByTask, key, worker));
      worker.ends.unacknowledgedTasks().stream()
          .flatMap(name -> TaskKey.parse(name).stream())
          .forEach(key -> addLocation(workersByTask, key, worker));
    }
    if (!takeoverGuard.isOver(workers, ownershipProvenAtMs)) {
      for (Job job : liveJobs.values()) {
        takeoverGuard.addUnresolved(job, workers, workersByTask, ownershipProvenAtMs);
      }
    }
    Map<String, Long> leasesLeftMs = new HashMap<>();
    for (Set<String> workerIds : workersByTask.values()) {
      for (String workerId : workerIds) {
        leasesLeftMs.computeIfAbsent(workerId, id -> leasesLeftMs(workers.find(id)));
      }
    }
    return new RunLocations(
        term,
        workersByTask,
        absences(workersByTask),
        leasesLeftMs,
        takeoverGuard.ordersLeftMs(ownershipProvenAtMs));
  }

  private long leasesLeftMs(Worker worker) {
    return Math.max(
        takeoverGuard.leasesLeftMs(worker, ownershipProvenAtMs),
        Math.max(0, worker.runsExpireAtMs(settings) - ownershipProvenAtMs));
  }

  /** Returns which processes that may have a task have lacked it in one complete report. */
  private Map<TaskKey, Set<Incarnation>> absences(Map<TaskKey, Set<String>> workersByTask) {
    Map<TaskKey, Set<Incarnation>> absences = new HashMap<>();
    Map<Worker, Set<Task>> running = new HashMap<>();
    for (Worker worker : workers.all()) {
      running.put(
          worker, worker.attempts.values().stream().map(it -> it.task).collect(Collectors.toSet()));
    }
    workersByTask.forEach(
        (key, workerIds) -> {
          Job job = jobs.get(key.job());
          Task task = job == null ? null : job.find(key.occurrence(), key.step(), key.index());
          if (task != null) {
            absences.put(
                key,
                workerIds.stream()
                    .map(workers::find)
                    .filter(worker -> !running.get(worker).contains(task))
                    .flatMap(worker -> task.earlierRun.absencesAt(worker).stream())
                    .collect(Collectors.toSet()));
          }
        });
    return absences;
  }

  private static void addLocation(
      Map<TaskKey, Set<String>> workersByTask, TaskKey key, Worker worker) {
    workersByTask.computeIfAbsent(key, unused -> new HashSet<>()).add(worker.id);
  }

  /**
   * Takes over the locations of the earlier owner's runs. Must be called after the jobs and the
   * enrolled workers have been restored and before any report.
   */
  public void restoreRunLocations(RunLocations locations, long nowMs) {
    takeoverGuard.restore(locations, liveJobs, workers, nowMs);
  }

  /** Adds a worker that an earlier owner may have given orders to. */
  public void restoreEnrolled(WorkerListing listing) {
    workers.addEnrolled(listing);
  }

  /**
   * Returns all known workers, to store as enrolled. Nothing starts on a worker before that, so
   * that a later owner knows every worker that may run something.
   */
  public List<WorkerListing> workersToEnrol() {
    return workers.all().stream()
        .filter(worker -> !worker.isTerminated)
        .map(worker -> worker.listing)
        .toList();
  }

  /** Returns whether the enrolment of any known worker has not been stored yet. */
  public boolean needsEnrolment() {
    return workers.all().stream().anyMatch(worker -> !worker.isEnrolled && !worker.isTerminated);
  }

  /** Records that an enrolment has been stored. */
  public void confirmEnrolment(Collection<WorkerListing> stored) {
    for (WorkerListing listing : stored) {
      Worker worker = workers.find(listing.id());
      if (worker != null) {
        worker.isEnrolled = true;
      }
    }
  }

  /**
   * Restores a job that an earlier owner stored. Jobs must be restored in the order of their
   * submission, which also restores the current rate of arrivals.
   */
  public void restore(JobSpec spec, Optional<JobProgress> progress, long nowMs, long epochMs) {
    long ageMs = Math.max(0, epochMs - spec.submittedEpochMs());
    Job job = new Job(spec, nowMs - ageMs, true);
    job.isAgreed = shares.tryTakeCredit(spec.team(), nowMs - ageMs);
    progress.ifPresent(stored -> job.restore(stored, epochMs));
    // Workers may report before the first decision, and the reported runs must find their tasks.
    if (!job.status.isFinal()) {
      job.addDueOccurrences(epochMs);
    }
    add(job);
    recordArrival(job, nowMs - ageMs);
  }

  /** Restores a finished job of which only the final status is still stored. */
  public void restoreFinal(JobProgress progress, long nowMs) {
    Job job = Job.ofFinalStatus(progress.id(), progress.status());
    job.reportedStatus = progress.status();
    job.finalAtMs = nowMs;
    if (progress.isSubmitted()) {
      add(job);
    } else {
      earlyCancellations.add(job);
    }
  }

  private void add(Job job) {
    jobs.put(job.spec.id(), job);
    if (!job.reportedStatus.isFinal()) {
      liveJobs.put(job.spec.id(), job);
    }
  }

  /**
   * Records that no later owner existed at a local time. Whether a lease has expired is decided as
   * of that time, because a later owner may have extended it since.
   */
  public void onOwnershipProven(long atMs) {
    ownershipProvenAtMs = Math.max(ownershipProvenAtMs, atMs);
  }

  /**
   * Applies a submission to a job that is known: one that has been accepted, or one that was
   * cancelled before its submission arrived and never runs.
   *
   * @return number of the batch that must be stored before the submission is confirmed; 0 if
   *     nothing needs to be stored; empty if the job is unknown
   */
  public Optional<Long> submitKnown(String jobId) {
    earlyCancellations
        .takeSubmitted(jobId)
        .ifPresent(
            job -> {
              // The status is kept from the submission on, as for any other job.
              job.finalAtMs = -1;
              job.submissionBatchNumber = changes.add(job);
              jobs.put(jobId, job);
            });
    return Optional.ofNullable(jobs.get(jobId))
        .map(job -> job.submissionBatchNumber)
        .map(batchNumber -> batchNumber > storedBatchNumber ? batchNumber : 0);
  }

  /** Accepts a job whose record has been stored, unless it has been cancelled meanwhile. */
  public void accept(JobSpec spec, long nowMs) {
    if (submitKnown(spec.id()).isPresent()) {
      return;
    }
    Job job = new Job(spec, nowMs, false);
    job.isAgreed = shares.tryTakeCredit(spec.team(), nowMs);
    add(job);
    recordArrival(job, nowMs);
  }

  private void recordArrival(Job job, long arrivedAtMs) {
    config
        .queue(job.spec.queue())
        .ifPresent(queue -> demandEstimator.recordArrival(job, queue, arrivedAtMs));
  }

  /** Returns a job's status as reported to callers; empty if the job is unknown. */
  public Optional<JobStatus> status(String jobId) {
    return Optional.ofNullable(jobs.get(jobId)).map(Scheduler::reportedStatus);
  }

  private static JobStatus reportedStatus(Job job) {
    if (job.reportedStatus.isFinal()) {
      return job.reportedStatus;
    }
    return job.hasStarted ? JobStatus.RUNNING : JobStatus.QUEUED;
  }

  /** Returns the number of unfinished jobs. */
  public int liveJobCount() {
    return liveJobs.size();
  }

  /** Returns the number of a queue's accepted jobs of which no task has started. */
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
   * Cancels a job. One that is unknown is cancelled, too, since its submission may still arrive.
   *
   * @return number of the batch that must be stored before the cancellation is confirmed; 0 if
   *     nothing needs to be stored; empty if no more cancellations of unknown jobs can be kept
   */
  public Optional<Long> cancel(String jobId) {
    Job accepted = jobs.get(jobId);
    if (accepted != null && !accepted.status.isFinal()) {
      runTracker.finish(accepted, JobStatus.CANCELLED);
    }
    return Optional.ofNullable(accepted)
        .or(() -> earlyCancellations.cancel(jobId))
        .map(job -> job.reportedStatus.isFinal() ? 0 : changes.add(job));
  }

  /** Returns the next batch of progress to store; empty if there is none. */
  public Optional<JobChanges> takeChanges() {
    return changes.isEmpty() ? Optional.empty() : Optional.of(changes.take());
  }

  /** Returns whether there is progress to store. */
  public boolean hasChanges() {
    return !changes.isEmpty();
  }

  /**
   * Records that a batch of progress has been stored; its effects become visible to callers and its
   * ends are acknowledged to workers.
   */
  public void confirmStored(JobChanges stored, long nowMs) {
    storedBatchNumber = stored.number();
    for (JobProgress progress : stored.progress()) {
      Job job = jobs.getOrDefault(progress.id(), earlyCancellations.find(progress.id()));
      if (job != null) {
        job.reportedStatus = progress.status();
        if (progress.status().isFinal() && job.finalAtMs < 0) {
          job.finalAtMs = nowMs;
        }
      }
    }
    workers.all().forEach(worker -> worker.ends.acknowledge(storedBatchNumber));
  }

  /** Removes jobs whose final status has been kept long enough, and returns their ids. */
  public List<String> removeFinishedJobs(long nowMs) {
    List<String> removed = new ArrayList<>();
    liveJobs
        .values()
        .removeIf(
            job -> {
              boolean isOver = job.reportedStatus.isFinal() && !hasRuns(job);
              if (isOver) {
                job.occurrences.values().stream()
                    .flatMap(List::stream)
                    .forEach(adviceTickets::forget);
              }
              return isOver;
            });
    jobs.values()
        .removeIf(
            job -> {
              boolean isExpired = job.isExpired(settings.statusRetentionMs(), nowMs);
              if (isExpired) {
                removed.add(job.spec.id());
              }
              return isExpired;
            });
    removed.addAll(earlyCancellations.removeExpired(settings.statusRetentionMs(), nowMs));
    return removed;
  }

  private static boolean hasRuns(Job job) {
    return job.occurrences.values().stream()
        .flatMap(List::stream)
        .flatMap(step -> step.tasks.stream())
        .anyMatch(task -> task.attempt != null);
  }

  /** Applies the reply to a start order. */
  public void onStartReply(Order.Start order, OrderReply reply, long nowMs) {
    Worker worker = workers.find(order.workerId());
    Attempt attempt = find(worker, order);
    if (worker != null) {
      worker.ordersInFlight--;
      worker.leaseRequestedAtMs = Math.max(worker.leaseRequestedAtMs, nowMs);
      worker.maxOrdersInFlight = startLimits.startsInFlightAllowed(worker.id);
    }
    if (attempt != null) {
      if (reply.outcome() == OrderReply.Outcome.TICKET) {
        adviceTickets.discard(attempt.task.step, order.workerId());
      }
      runTracker.onStartReply(attempt, reply, nowMs);
    }
  }

  /** Applies the reply to a stop order. */
  public void onStopReply(Order.Stop order, OrderReply reply, long nowMs) {
    Attempt attempt = find(workers.find(order.workerId()), order);
    if (attempt != null) {
      runTracker.onStopReply(attempt, reply, nowMs);
    }
  }

  private static Attempt find(Worker worker, Order order) {
    return worker == null
        ? null
        : worker.attempts.get(Worker.attemptKey(order.taskName(), order.run()));
  }

  /**
   * Applies a worker's report; returns orders to stop the unknown runs that it lists.
   *
   * @param requestedAtMs local time at which the report was requested
   */
  public List<Order> onReport(
      String workerId, WorkerReport report, long requestedAtMs, long nowMs) {
    Worker worker = workers.find(workerId);
    if (worker == null) {
      return List.of();
    }
    firstReports.onSettled(worker);
    List<Order> unknownRuns = runTracker.onReport(worker, report, requestedAtMs, nowMs);
    worker.ends.acknowledge(storedBatchNumber);
    return unknownRuns;
  }

  /**
   * Records that a worker did not report. If its process has ended and the worker does not report
   * again before its leases have expired, it has crashed.
   *
   * @param requestedAtMs local time at which the report was requested
   */
  public void onReportMissed(
      String workerId, ReportFailure failure, long requestedAtMs, long nowMs) {
    boolean mayHaveBeenSent = failure == ReportFailure.NO_ANSWER;
    long connectedAtMs = mayHaveBeenSent ? Long.MAX_VALUE : Long.MIN_VALUE;
    onReportMissed(workerId, failure, requestedAtMs, connectedAtMs, nowMs);
  }

  /**
   * Records that a worker did not report.
   *
   * @param requestedAtMs local time at which the report was requested
   * @param connectedAtMs local time by which the connection was made over which the request was
   *     sent; {@link Long#MAX_VALUE} if that is not known, {@link Long#MIN_VALUE} if it was not
   *     sent or renews no lease
   */
  public void onReportMissed(
      String workerId, ReportFailure failure, long requestedAtMs, long connectedAtMs, long nowMs) {
    Worker worker = workers.find(workerId);
    if (worker == null) {
      return;
    }
    worker.onReportUnanswered(requestedAtMs, connectedAtMs, nowMs);
    firstReports.onSettled(worker);
    worker.lostAtMs = worker.missedReports == 0 ? nowMs : worker.lostAtMs;
    worker.missedReports++;
    worker.lastReportAttemptMs = nowMs;
    // The acknowledgement that the request carried may not have arrived.
    worker.sentAcknowledgement = 0;
    worker.process.onReportFailed(failure, requestedAtMs);
  }

  /**
   * Returns whether the list of instances is needed, because only that can tell a worker whose
   * process has ended from one behind a cut that refuses connections.
   */
  public boolean needsInstanceList(long nowMs) {
    boolean isTakeoverOver = takeoverGuard.isOver(workers, ownershipProvenAtMs);
    return workers.all().stream()
        .anyMatch(
            worker ->
                worker.process.mayBeShownAsEnded(nowMs)
                    && ((!worker.attempts.isEmpty() && !worker.process.hasEnded())
                        || (!isTakeoverOver
                            && takeoverGuard.isUnreported(worker, ownershipProvenAtMs))));
  }

  /**
   * Records which workers run on the platform's instances. The process of an unreachable worker
   * that no instance names has ended.
   *
   * @param workerIds the ids of the workers on all instances
   * @param requestedAtMs local time at which the list was requested
   */
  public void onInstancesListed(Set<String> workerIds, long requestedAtMs) {
    for (Worker worker : workers.all()) {
      if (worker.missedReports > 0) {
        worker.process.onInstancesListed(workerIds.contains(worker.id), requestedAtMs);
      }
    }
  }

  /** Stores tickets that the advisory service has issued on a request, by worker id. */
  public void onAdvice(
      AdviceQuery query, Map<String, String> byWorker, long validityMs, long nowMs) {
    adviceTickets.store(query, byWorker, validityMs, nowMs);
  }

  /** Records that the advisory service did not reply; it is asked again a little later. */
  public void onAdviceMissed(String stepName, long nowMs) {
    adviceTickets.scheduleRetry(stepName, nowMs);
  }

  /** Returns the renewal to send to a worker now; empty if none is due. */
  public Optional<Renewal> renewal(String workerId, long nowMs) {
    Worker worker = workers.find(workerId);
    if (worker == null || worker.isTerminated || (!worker.isFenced && !firstReports.hasRoom())) {
      return Optional.empty();
    }
    boolean mayHaveEarlierRuns =
        !worker.hasListedAllRuns && !takeoverGuard.isOver(workers, ownershipProvenAtMs);
    Optional<Renewal> renewal =
        RenewalPolicy.decide(worker, settings, startLimits, mayHaveEarlierRuns, nowMs);
    if (renewal.isPresent() && !worker.isFenced) {
      firstReports.onRequested(worker);
    }
    return renewal;
  }

  /**
   * Returns a request for an immediate report, in addition to the one that the worker may be
   * delaying; empty if none is needed. It is needed to look up an unanswered start, and after one
   * has been stopped, because the task can only start again once a report shows that it does not
   * run there. It also shows whether a run is over that the last report lacked, and ends the
   * isolation of a run as soon as that has survived its start.
   */
  public Optional<Renewal> immediateReportRequest(String workerId, long nowMs) {
    Worker worker = workers.find(workerId);
    boolean isWanted =
        worker != null
            && worker.attempts.values().stream()
                .anyMatch(
                    attempt ->
                        (attempt.phase == Attempt.Phase.UNANSWERED
                                && attempt.isStopConfirmed
                                && !attempt.isEndUnlisted)
                            || (worker.missedReports == 0
                                && (attempt.isLookedUp()
                                    || attempt.isAbsenceUnproved()
                                    || attempt.isSurvivalUnknown(nowMs))));
    return isWanted ? Optional.of(new Renewal(worker.id, -1, 0, 0)) : Optional.empty();
  }

  /**
   * Returns the ids of all known workers whose processes may be running, in the order in which they
   * are asked for reports: first those without a first report, of which only some are asked at the
   * same time. Among them, silent workers wait for those that have missed no report, and for each
   * other.
   */
  public List<String> workerIds() {
    List<Worker> unreported = new ArrayList<>();
    List<String> reported = new ArrayList<>();
    for (Worker worker : workers.all()) {
      if (worker.isTerminated) {
        continue;
      }
      if (worker.isFenced) {
        reported.add(worker.id);
      } else {
        unreported.add(worker);
      }
    }
    unreported.sort(FIRST_REPORT_ORDER);
    List<String> ids = new ArrayList<>();
    unreported.forEach(worker -> ids.add(worker.id));
    ids.addAll(reported);
    return ids;
  }

  /**
   * Records that the instance of a worker without runs is moved or maintained, which ends the
   * worker's process. It is not asked for reports any more, unless it is listed with a later
   * incarnation or for longer than the registry lists an ended worker: the platform also accepts an
   * operation that an earlier order has done already, and then the worker is one that came after
   * it.
   *
   * @param listedUntilMs local time until which the registry may list an ended worker
   */
  public void onWorkerTerminated(String workerId, long listedUntilMs) {
    Worker worker = workers.find(workerId);
    if (worker != null && worker.attempts.isEmpty()) {
      firstReports.onSettled(worker);
      workers.markTerminated(worker, listedUntilMs);
    }
  }

  /** Returns a worker's listing; empty if the worker is unknown. */
  public Optional<WorkerListing> listing(String workerId) {
    return Optional.ofNullable(workers.find(workerId)).map(worker -> worker.listing);
  }

  /** Returns the load of each listed worker. */
  public List<WorkerLoad> workerLoads(long nowMs) {
    List<WorkerLoad> loads = new ArrayList<>();
    for (Worker worker : workers.all()) {
      if (worker.isListed && !worker.isTerminated) {
        int longRunning = worker.longRunningCount();
        loads.add(
            new WorkerLoad(
                worker.id,
                worker.listing.service(),
                worker.isFenced && worker.isEnrolled && !worker.listing.isDraining(),
                worker.attempts.size() - longRunning,
                longRunning,
                DemandEstimator.fractionOfWorker(worker.reserved, worker.listing.capacity())));
      }
    }
    return loads;
  }

  /**
   * Replaces the set of workers on which nothing may start, because their instances are to be moved
   * or maintained.
   */
  public void setCordonedWorkers(Set<String> workerIds) {
    workers.all().forEach(worker -> worker.isCordoned = workerIds.contains(worker.id));
  }

  /**
   * Stops long-running tasks of a worker, so that they restart elsewhere. A task is stopped only if
   * its step may have one more task unavailable and another worker has the capacity for it now.
   */
  public void drainLongRunningTasks(String workerId, long nowMs) {
    Worker worker = workers.find(workerId);
    if (worker == null || worker.longRunningCount() == 0) {
      return;
    }
    Placement placement =
        new Placement(
            workers.pool(worker.listing.service()),
            outOfServiceDataCentres,
            settings.remoteSlowdownFactor(),
            nowMs);
    for (Attempt attempt : worker.attempts.values()) {
      Step step = attempt.task.step;
      if (step.spec.isLongRunning()
          && attempt.isAvailable()
          && mayInterrupt(step)
          && placement.hasCapacityFor(attempt.task)) {
        attempt.stop();
      }
    }
  }

  /**
   * Returns whether the scheduler may make one more task of a step unavailable. A step without a
   * limit allows one at a time.
   */
  private static boolean mayInterrupt(Step step) {
    int unavailable = step.unavailableCount();
    return step.spec.maxUnavailable() == 0
        ? unavailable == 0
        : unavailable < step.spec.maxUnavailable();
  }

  /** Returns the current demand on each pool, by service. */
  public Map<String, PoolDemand> demands(long nowMs, long epochMs) {
    return demandEstimator.demands(liveJobs.values(), config, this::workerSize, nowMs, epochMs);
  }

  /** Returns what the demands consist of, for the log. */
  public String describeDemands() {
    return demandEstimator.describe();
  }

  /** Returns the capacity of a worker of a pool, or of any worker if the pool is empty. */
  private Optional<Resources> workerSize(String service) {
    List<Worker> pool = workers.pool(service);
    Collection<Worker> sample = pool.isEmpty() ? workers.all() : pool;
    return sample.stream().findFirst().map(worker -> worker.listing.capacity());
  }

  /** Decides which runs to start and stop now, and which advice to ask for. */
  public Decisions decide(long nowMs, long epochMs) {
    for (Worker worker : workers.all()) {
      if (worker.missedReports > 0) {
        closeExpiredRuns(worker, nowMs);
      }
    }
    workers.removeUnlisted(takeoverGuard, ownershipProvenAtMs).forEach(firstReports::onSettled);
    workers.reviveListed(nowMs);
    if (nowMs - slownessDecayedAtMs >= SLOWNESS_DECAY_INTERVAL_MS) {
      slownessDecayedAtMs = nowMs;
      workers.all().forEach(worker -> worker.health.decaySlowness());
    }
    for (Worker worker : workers.all()) {
      stragglerDetector.check(worker, nowMs);
    }
    List<Order> orders = new ArrayList<>();
    List<AdviceQuery> queries = new ArrayList<>();
    stopUnwanted(orders, nowMs);
    startWaiting(orders, queries, nowMs, epochMs);
    return new Decisions(orders, queries, runTracker.takeEvents());
  }

  private void closeExpiredRuns(Worker worker, long nowMs) {
    if (worker.process.hasEnded() && worker.isOverAfterEnd(ownershipProvenAtMs)) {
      runTracker.onProcessEnded(worker, nowMs);
    } else if (worker.isLeaseExpired(ownershipProvenAtMs)) {
      runTracker.closeExpired(worker, settings, ownershipProvenAtMs);
    }
  }

  private void stopUnwanted(List<Order> orders, long nowMs) {
    for (Worker worker : workers.all()) {
      RunTracker.endLookUps(worker, nowMs);
      for (Attempt attempt : worker.attempts.values()) {
        if (attempt.isStopWanted()
            && !attempt.isStopConfirmed
            && !attempt.isStopInFlight
            && attempt.phase != Attempt.Phase.ORDERED
            && attempt.nextStopAtMs <= nowMs) {
          attempt.isStopInFlight = true;
          attempt.stopOrderedToStartedEpochMs = worker.startedEpochMs;
          orders.add(new Order.Stop(worker.id, attempt.task.key.wireName(), attempt.run));
        }
      }
    }
  }

  private void startWaiting(
      List<Order> orders, List<AdviceQuery> queries, long nowMs, long epochMs) {
    Map<String, List<Candidate>> byService = new HashMap<>();
    HeldUsage heldUsage = new HeldUsage();
    for (Job job : liveJobs.values()) {
      if (!job.status.isFinal()) {
        collectCandidates(job, byService, heldUsage, nowMs, epochMs);
      }
    }
    unreportedByTeam =
        heldUsage.isEmpty()
            ? Map.of()
            : heldUsage.byTeam(takeoverGuard.unreported(workers, Set.of(), ownershipProvenAtMs));
    StartBudget budget = new StartBudget(startLimits, nowMs);
    StartRound.Context context =
        new StartRound.Context(
            config,
            settings,
            term,
            runTracker,
            teamUsage,
            adviceTickets,
            unreportedByTeam,
            orders,
            queries,
            budget,
            nowMs);
    StartSequence sequence = new StartSequence();
    placements = new HashMap<>();
    byService.forEach(
        (service, candidates) -> {
          candidates.sort(CandidateRanking.BY_URGENCY);
          List<Worker> pool = workers.pool(service);
          Placement placement =
              new Placement(pool, outOfServiceDataCentres, settings.remoteSlowdownFactor(), nowMs);
          placements.put(service, placement);
          sequence.add(
              new StartRound(context, placement),
              pool,
              shareOrder.order(service, candidates, pool, nowMs));
        });
    sequence.run(budget);
  }

  private void collectCandidates(
      Job job,
      Map<String, List<Candidate>> byService,
      HeldUsage heldUsage,
      long nowMs,
      long epochMs) {
    Optional<QueueConfig> queue = config.queue(job.spec.queue());
    if (queue.isEmpty()) {
      return;
    }
    job.addDueOccurrences(epochMs);
    String service = queue.get().service();
    if (job.mayHaveHeldTasks) {
      job.mayHaveHeldTasks = !takeoverGuard.isOver(workers, ownershipProvenAtMs);
      takeoverGuard.updateHeldTasks(job, workers, ownershipProvenAtMs);
      // A held task may be running, so its team is charged for it.
      heldTasks(job).forEach(task -> heldUsage.add(job.spec.team(), task.step.spec));
    }
    boolean mayStart = job.mayStartInPoolOf(service, storedBatchNumber);
    for (List<Step> steps : job.occurrences.values()) {
      for (Step step : steps) {
        if (!step.isDone()
            && Job.areDependenciesDone(step, steps)
            && hasStartableTask(step, nowMs)) {
          if (!mayStart) {
            job.addLaterService(service, changes);
            return;
          }
          byService
              .computeIfAbsent(service, name -> new ArrayList<>())
              .add(ranking.candidate(step, steps, queue.get(), nowMs, epochMs));
        }
      }
    }
  }

  private static boolean hasStartableTask(Step step, long nowMs) {
    for (Task task : step.tasks) {
      if (task.isStartable(nowMs)) {
        return true;
      }
    }
    return false;
  }
}
