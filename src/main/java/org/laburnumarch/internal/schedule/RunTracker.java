package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.QueueConfig;
import org.laburnumarch.internal.job.TaskKey;

/**
 * Tracks each run from its start order to its end, from the replies and reports of workers.
 *
 * <p>A task gets a new run only when no earlier one can still be running: its end was reported, the
 * worker refused the start, complete reports that were requested after the start's confirmation or
 * deadline do not list it, the worker began a new incarnation, or the worker's lease has expired.
 */
final class RunTracker {

  /** Interval between two orders to stop the same run. */
  private static final long STOP_RETRY_MS = 300;

  /**
   * How far a worker's clock may lag behind its expected reading because of delayed replies. A
   * larger lag means that the worker has restarted.
   */
  private static final long CLOCK_TOLERANCE_MS = 1_500;

  /** Age at which a run that its worker reports has not crashed the worker by being started. */
  static final long START_SURVIVAL_MS = 300;

  /**
   * Longest time for which an unanswered start is looked up. A worker that reports does so much
   * sooner, and one that does not would not obey a stop either.
   */
  private static final long LOOK_UP_MS = 2_000;

  private static final long REFUSAL_PAUSE_MS = 60;
  private static final long UNHEALTHY_PAUSE_MS = 800;

  private final Map<String, Job> jobs;
  private final TeamUsage teamUsage;
  private final PendingChanges changes;
  private final RunTimeLearner runTimeLearner;
  private final QueueLookup queues;
  private final OptionalLong earlierLeaseMs;
  private final CrashTracker crashTracker;
  private final List<RunEvent> events = new ArrayList<>();

  /** Finds the configuration of a queue. */
  interface QueueLookup {
    Optional<QueueConfig> find(String queue);
  }

  /**
   * Creates a tracker without runs.
   *
   * @param earlierLeaseMs longest lease that an earlier owner may have requested; empty if there
   *     was none
   */
  RunTracker(
      Map<String, Job> jobs,
      TeamUsage teamUsage,
      PendingChanges changes,
      RunTimeLearner runTimeLearner,
      QueueLookup queues,
      OptionalLong earlierLeaseMs) {
    this.jobs = jobs;
    this.teamUsage = teamUsage;
    this.changes = changes;
    this.runTimeLearner = runTimeLearner;
    this.queues = queues;
    this.earlierLeaseMs = earlierLeaseMs;
    this.crashTracker = new CrashTracker(this, changes);
  }

  /** Registers a run whose start is about to be ordered. */
  Attempt registerStart(Task task, Worker worker, long run, long nowMs, long startDeadlineClockMs) {
    Attempt attempt =
        new Attempt(
            task,
            worker,
            run,
            task.step.spec.reserved(),
            task.checkpoint,
            nowMs,
            startDeadlineClockMs);
    attempt.isIsolated = task.needsIsolation(nowMs);
    task.attempt = attempt;
    task.knownRunAtMs = Math.max(task.knownRunAtMs, nowMs);
    task.lastRun = run;
    task.step.job.hasStarted = true;
    register(attempt);
    return attempt;
  }

  private void register(Attempt attempt) {
    attempt.worker.add(attempt);
    teamUsage.add(attempt.task.step.job.spec.team(), attempt.task.step.spec.need());
  }

  /** Returns the unexpected outcomes of runs since the last call. */
  List<RunEvent> takeEvents() {
    List<RunEvent> taken = List.copyOf(events);
    events.clear();
    return taken;
  }

  private void record(RunEvent.Kind kind, Attempt attempt) {
    events.add(new RunEvent(kind, attempt.task.key.wireName(), attempt.run, attempt.worker.id));
  }

  /** Removes a run that counts as over although its end has not been listed. */
  private void close(Attempt attempt, RunEvent.Kind cause) {
    record(cause, attempt);
    unregister(attempt);
  }

  /** Removes a run that can no longer be running; its task may run again. */
  private void unregister(Attempt attempt) {
    if (attempt.worker.remove(attempt)) {
      teamUsage.remove(attempt.task.step.job.spec.team(), attempt.task.step.spec.need());
    }
    Task task = attempt.task;
    task.onSeenRunning(attempt.lastSeenRunningAtMs());
    if (task.attempt == attempt) {
      task.attempt = null;
    }
  }

  /** Updates a run by the reply to its start order. */
  void onStartReply(Attempt attempt, OrderReply reply, long nowMs) {
    Worker worker = attempt.worker;
    if (worker.attempts.get(Worker.attemptKey(attempt.task.key.wireName(), attempt.run))
        != attempt) {
      return;
    }
    boolean isClockSetBack =
        reply.workerClockMs() >= 0
            && worker.hasClock()
            && reply.workerClockMs() + CLOCK_TOLERANCE_MS < worker.clockMs(nowMs);
    recordClock(worker, reply, nowMs);
    switch (reply.outcome()) {
      case OBEYED -> {
        attempt.phase = Attempt.Phase.RUNNING;
        attempt.isOfNextIncarnation = isClockSetBack;
        attempt.isConfirmedByKnownIncarnation =
            worker.isClockOfKnownIncarnation(reply.workerClockMs(), nowMs);
        attempt.confirmedAtMs = nowMs;
        attempt.confirmedClockMs = reply.workerClockMs();
      }
      case UNKNOWN -> {
        attempt.phase = Attempt.Phase.UNANSWERED;
        attempt.lookUpDeadlineAtMs = nowMs + LOOK_UP_MS;
        attempt.isStartUncertain = true;
        worker.onLeaseUnanswered(reply.connectedAtMs(), nowMs);
        worker.blockedUntilMs = Math.max(worker.blockedUntilMs, nowMs + REFUSAL_PAUSE_MS);
      }
      case NO_ROOM, LATE -> onRefused(attempt, REFUSAL_PAUSE_MS, nowMs);
      case OUTDATED, TICKET, REJECTED -> onRefused(attempt, 0, nowMs);
      case UNHEALTHY, UNREACHABLE, OTHER_INCARNATION, FENCED ->
          onRefused(attempt, UNHEALTHY_PAUSE_MS, nowMs);
    }
  }

  /**
   * Records the worker's clock as a reply shows it. A reading that is ahead of the expected one is
   * ignored, because the reply may come from an earlier incarnation, and so is a reading before the
   * first report of the current one.
   */
  private static void recordClock(Worker worker, OrderReply reply, long nowMs) {
    if (worker.hasClock() && reply.workerClockMs() <= worker.clockMs(nowMs) + CLOCK_TOLERANCE_MS) {
      worker.recordClock(reply.workerClockMs(), nowMs);
    }
  }

  private void onRefused(Attempt attempt, long pauseMs, long nowMs) {
    Worker worker = attempt.worker;
    unregister(attempt);
    attempt.task.avoidedWorker = worker.id;
    attempt.task.notBeforeMs = nowMs + 2;
    if (pauseMs > 0) {
      worker.blockedUntilMs = Math.max(worker.blockedUntilMs, nowMs + pauseMs);
    }
  }

  /** Updates a run by the reply to an order to stop it. */
  void onStopReply(Attempt attempt, OrderReply reply, long nowMs) {
    attempt.isStopInFlight = false;
    recordClock(attempt.worker, reply, nowMs);
    if (attempt.stopOrderedToStartedEpochMs != attempt.worker.startedEpochMs) {
      // An earlier incarnation may have confirmed it, and the current one does not know of it.
      attempt.nextStopAtMs = nowMs;
    } else if (reply.outcome() == OrderReply.Outcome.OBEYED) {
      attempt.isStopConfirmed = true;
      attempt.confirmedAtMs = nowMs;
    } else {
      attempt.nextStopAtMs = nowMs + STOP_RETRY_MS;
    }
  }

  /**
   * Updates a worker's runs by its report. Reports of an incarnation earlier than the known one are
   * ignored, because their ends must not be acknowledged to the new incarnation.
   *
   * @param requestedAtMs local time at which the report was requested
   * @return orders to stop runs whose task is unknown here
   */
  List<Order> onReport(Worker worker, WorkerReport report, long requestedAtMs, long nowMs) {
    if (worker.hasReplaced(report.startedEpochMs())) {
      return List.of();
    }
    if (report.startedEpochMs() != 0 && report.startedEpochMs() < worker.startedEpochMs) {
      if (requestedAtMs <= worker.incarnationShownAtMs) {
        return List.of();
      }
      // Its process has answered before; the wall clock was set back before the next one began.
      beginIncarnation(worker, report.startedEpochMs(), nowMs);
    }
    updateIncarnation(worker, report.startedEpochMs(), nowMs);
    worker.incarnationShownAtMs = nowMs;
    worker.recordClock(report.workerClockMs(), nowMs);
    worker.recordAlive(report.workerClockMs(), requestedAtMs);
    worker.onReportArrived(requestedAtMs);
    if (!worker.isFenced && earlierLeaseMs.isPresent()) {
      // What earlier owners have requested is not known, and no worker grants more than this.
      worker.leaseEndClockMs =
          Math.max(worker.leaseEndClockMs, report.workerClockMs() + earlierLeaseMs.getAsLong());
    }
    worker.recordReport(report.listsAllEnds(), requestedAtMs, nowMs);
    worker.missedReports = 0;
    worker.process.reset();
    worker.lastReportAttemptMs = nowMs;
    Set<String> seen = new HashSet<>();
    for (EndedTask ended : report.ended()) {
      seen.add(Worker.attemptKey(ended.taskName(), ended.run()));
      if (worker.ends.isNew(ended)) {
        worker.ends.onApplied(ended, onEnd(worker, ended, requestedAtMs, nowMs));
      }
    }
    worker.ends.onReport(report, requestedAtMs, nowMs);
    List<Order> unknownRuns = new ArrayList<>();
    for (RunningTask running : report.running()) {
      seen.add(Worker.attemptKey(running.taskName(), running.run()));
      onRunningReported(worker, running, requestedAtMs, nowMs).ifPresent(unknownRuns::add);
    }
    unregisterAbsent(worker, report, requestedAtMs, seen, nowMs);
    return unknownRuns;
  }

  /**
   * Records when a worker's incarnation began. Runs that a report of the earlier incarnation listed
   * have ended. A run that only a reply has confirmed may be going on in either incarnation; the
   * next report shows which.
   */
  void updateIncarnation(Worker worker, long startedEpochMs, long nowMs) {
    // The registry's entry may be older than the worker's last report.
    if (startedEpochMs > worker.startedEpochMs && !worker.hasReplaced(startedEpochMs)) {
      beginIncarnation(worker, startedEpochMs, nowMs);
    }
  }

  private void beginIncarnation(Worker worker, long startedEpochMs, long nowMs) {
    if (worker.startedEpochMs != 0 || worker.hasClock()) {
      List<Attempt> ended =
          worker.attempts.values().stream()
              .filter(attempt -> attempt.isListed && !attempt.isOfNextIncarnation)
              .toList();
      crashTracker.onCrash(worker, ended, nowMs);
      ended.forEach(attempt -> close(attempt, RunEvent.Kind.CLOSED_BY_INCARNATION));
      worker.attempts.values().forEach(Attempt::onNextIncarnation);
    }
    worker.resetIncarnation(startedEpochMs, nowMs);
  }

  /** Marks unanswered starts to be stopped that no report has shown in time. */
  static void endLookUps(Worker worker, long nowMs) {
    for (Attempt attempt : worker.attempts.values()) {
      if (attempt.isLookedUp() && nowMs >= attempt.lookUpDeadlineAtMs) {
        attempt.stopAsUnanswered();
      }
    }
  }

  /** Removes all runs of a worker whose process has ended. */
  void onProcessEnded(Worker worker, long nowMs) {
    crashTracker.onCrash(worker, worker.attempts.values(), nowMs);
    closeByLease(List.copyOf(worker.attempts.values()));
  }

  /**
   * Removes the runs of an unreachable worker that cannot be going on any more.
   *
   * @param provenAtMs local time as of which leases count as expired
   */
  void closeExpired(Worker worker, SchedulerSettings settings, long provenAtMs) {
    closeByLease(
        worker.attempts.values().stream()
            .filter(attempt -> provenAtMs >= worker.expiresAtMs(attempt, settings))
            .toList());
  }

  private void closeByLease(List<Attempt> expired) {
    expired.forEach(attempt -> close(attempt, RunEvent.Kind.CLOSED_BY_LEASE));
  }

  /**
   * Removes runs that a report would list if they were going on. The worker may have taken the
   * report's lists at any time between the request and the answer, and read its clock at another.
   */
  private void unregisterAbsent(
      Worker worker, WorkerReport report, long requestedAtMs, Set<String> seen, long nowMs) {
    for (Map.Entry<String, Attempt> entry : List.copyOf(worker.attempts.entrySet())) {
      Attempt attempt = entry.getValue();
      if (seen.contains(entry.getKey())) {
        attempt.absentSinceMs = -1;
      } else if (mustBeListed(attempt, requestedAtMs)) {
        onAbsent(attempt, report, requestedAtMs, nowMs);
      } else if (attempt.isLookedUp() && requestedAtMs >= attempt.lookUpDeadlineAtMs - LOOK_UP_MS) {
        // The worker may still execute the start until its deadline.
        attempt.stopAsUnanswered();
      }
    }
  }

  /** Returns whether a report requested at a local time lists a run if the run has not ended. */
  private static boolean mustBeListed(Attempt attempt, long requestedAtMs) {
    return attempt.confirmedAtMs >= 0
        ? requestedAtMs > attempt.confirmedAtMs
        : attempt.worker.earliestClockMs(requestedAtMs) > attempt.startDeadlineClockMs;
  }

  private void onAbsent(Attempt attempt, WorkerReport report, long requestedAtMs, long nowMs) {
    if (!report.listsAllEnds()) {
      attempt.onEndUnlisted();
    } else if (attempt.isOverAfterAbsence(report.workerClockMs(), requestedAtMs, nowMs)) {
      if (attempt.isOfUnknownIncarnation) {
        crashTracker.onCrash(attempt.worker, List.of(attempt), nowMs);
      }
      close(attempt, RunEvent.Kind.CLOSED_AS_NOT_LISTED);
    }
  }

  private Optional<Order> onRunningReported(
      Worker worker, RunningTask running, long requestedAtMs, long nowMs) {
    Attempt attempt = worker.attempts.get(Worker.attemptKey(running.taskName(), running.run()));
    if (attempt == null) {
      if (hasEnded(worker, running)) {
        return Optional.empty();
      }
      attempt = adopt(worker, running, nowMs);
      if (attempt == null) {
        return Optional.of(new Order.Stop(worker.id, running.taskName(), running.run()));
      }
    }
    if (attempt.isAdopted) {
      attempt.task.knownRunAtMs = Math.max(attempt.task.knownRunAtMs, requestedAtMs);
    }
    attempt.isListed = true;
    attempt.isEndUnlisted = false;
    attempt.isOfUnknownIncarnation = false;
    if (!attempt.hasSurvivedStart && nowMs - attempt.orderedAtMs >= START_SURVIVAL_MS) {
      attempt.hasSurvivedStart = true;
      crashTracker.onStartSurvived(attempt);
    }
    attempt.isOfNextIncarnation = false;
    if (attempt.phase != Attempt.Phase.RUNNING) {
      attempt.phase = Attempt.Phase.RUNNING;
      attempt.confirmedAtMs = nowMs;
      attempt.onStartShown();
    }
    if (running.percent() != attempt.percent) {
      attempt.percent = running.percent();
      attempt.percentChangedAtMs = nowMs;
      if (attempt.task.step.spec.isLongRunning() && attempt.isAtWork()) {
        worker.health.recordSuccess();
      }
    }
    attempt.reportedAtMs = nowMs;
    attempt.load = running.load();
    if (!running.checkpoint().isEmpty() && attempt.task.attempt == attempt) {
      attempt.task.checkpoint = running.checkpoint();
    }
    return Optional.empty();
  }

  /**
   * Returns whether another report has listed the end of a run. Reports may arrive in another order
   * than they were written.
   */
  private boolean hasEnded(Worker worker, RunningTask running) {
    Task task = findTask(running.taskName());
    return task != null
        && task.lastEndedRun == running.run()
        && task.lastEndedWorkerId.equals(worker.id);
  }

  /** Registers a run that an earlier owner started; returns null if its job is unknown here. */
  private Attempt adopt(Worker worker, RunningTask running, long nowMs) {
    Task task = findTask(running.taskName());
    if (task == null) {
      return null;
    }
    Attempt attempt =
        new Attempt(
            task,
            worker,
            running.run(),
            task.step.spec.reserved(),
            running.checkpoint(),
            nowMs,
            worker.clockMs(nowMs));
    task.lastRun = Math.max(task.lastRun, running.run());
    boolean isWanted = task.attempt == null && !task.isDone && !task.step.job.status.isFinal();
    if (task.attempt != null) {
      record(RunEvent.Kind.FOUND_RUNNING_TWICE, attempt);
    }
    if (isWanted) {
      task.attempt = attempt;
      task.step.job.hasStarted = true;
    } else {
      attempt.stop();
    }
    attempt.phase = Attempt.Phase.RUNNING;
    attempt.isAdopted = true;
    attempt.isStartUncertain = true;
    attempt.confirmedAtMs = nowMs;
    register(attempt);
    return attempt;
  }

  private Task findTask(String taskName) {
    Optional<TaskKey> key = TaskKey.parse(taskName);
    if (key.isEmpty()) {
      return null;
    }
    Job job = jobs.get(key.get().job());
    return job == null
        ? null
        : job.find(key.get().occurrence(), key.get().step(), key.get().index());
  }

  /**
   * Returns the number of the latest batch with progress of a task's job; 0 if there is none. An
   * end that changes nothing was applied before, and must not be acknowledged before that batch is
   * stored.
   */
  private long lastBatchNumber(String taskName) {
    return TaskKey.parse(taskName)
        .map(key -> jobs.get(key.job()))
        .map(job -> job.lastBatchNumber)
        .orElse(0L);
  }

  /**
   * Applies the end of a run; returns the number of the batch that must be stored before the end is
   * acknowledged, or 0 if nothing needs to be stored.
   */
  private long onEnd(Worker worker, EndedTask ended, long requestedAtMs, long nowMs) {
    Attempt attempt = worker.attempts.get(Worker.attemptKey(ended.taskName(), ended.run()));
    Task task = attempt == null ? findTask(ended.taskName()) : attempt.task;
    boolean isStopOrdered = attempt != null && attempt.isStopWanted();
    if (attempt != null) {
      unregister(attempt);
    }
    if (task == null) {
      // A done occurrence has no tasks any more.
      return lastBatchNumber(ended.taskName());
    }
    task.onSeenRunning(nowMs);
    task.lastRun = Math.max(task.lastRun, ended.run());
    task.lastEndedRun = ended.run();
    task.lastEndedWorkerId = worker.id;
    boolean hasNoOtherRun = task.attempt == null;
    if (!hasNoOtherRun && ended.how() == EndKind.DONE) {
      events.add(
          new RunEvent(RunEvent.Kind.FOUND_DONE_TWICE, ended.taskName(), ended.run(), worker.id));
    }
    if (hasNoOtherRun && !ended.checkpoint().isEmpty()) {
      task.checkpoint = ended.checkpoint();
    }
    if (task.step.job.status.isFinal() || task.isDone) {
      return lastBatchNumber(ended.taskName());
    }
    return switch (ended.how()) {
      case DONE -> onDone(worker, task, attempt, requestedAtMs, nowMs);
      case FAILED -> onFailed(worker, task, attempt, ended.run(), nowMs);
      case STOPPED, LAPSED, BROKEN, ALONE -> {
        if (attempt != null) {
          runTimeLearner.onInterrupted(attempt);
        }
        if (!isStopOrdered) {
          task.avoidedWorker = worker.id;
        }
        yield 0;
      }
    };
  }

  private long onDone(Worker worker, Task task, Attempt attempt, long requestedAtMs, long nowMs) {
    Step step = task.step;
    if (step.spec.isLongRunning()) {
      return 0;
    }
    worker.health.recordSuccess();
    if (attempt != null && attempt.checkpoint.isEmpty()) {
      long overAtMs = attempt.isEndUnlisted ? attempt.reportedAtMs : nowMs;
      worker.health.recordRunTime(runTimeLearner.ratioToExpected(attempt, overAtMs));
      runTimeLearner.onDone(attempt, requestedAtMs, nowMs);
    }
    if (step.spec.isGang()) {
      // A gang is done as soon as one of its tasks is.
      step.tasks.forEach(step::markDone);
    } else {
      step.markDone(task);
    }
    if (task.attempt != null) {
      task.attempt.stop();
    }
    step.job.removeDoneOccurrences();
    return changes.add(step.job);
  }

  private long onFailed(Worker worker, Task task, Attempt attempt, long run, long nowMs) {
    Job job = task.step.job;
    boolean isLongRunning = task.step.spec.isLongRunning();
    // Long-running tasks may fail at any time; only one that does not get to work tells of its
    // worker. Whether one of an earlier owner did is not known.
    if (!isLongRunning || (attempt != null && !attempt.isAtWork())) {
      worker.health.recordFailure(job.spec.id(), nowMs);
    }
    task.avoidedWorker = worker.id;
    if (isLongRunning) {
      return 0;
    }
    task.failedRuns.add(run);
    int maxAttempts =
        queues.find(job.spec.queue()).map(QueueConfig::maxAttempts).orElse(Integer.MAX_VALUE);
    if (countFailedRuns(task.step, task) >= maxAttempts) {
      finish(job, JobStatus.FAILED);
    }
    return changes.add(job);
  }

  /** Returns the number of failed runs of a task, or of its gang, whose tasks fail together. */
  private static int countFailedRuns(Step step, Task task) {
    if (!step.spec.isGang()) {
      return task.failedRuns.size();
    }
    Set<Long> runs = new HashSet<>();
    step.tasks.forEach(member -> runs.addAll(member.failedRuns));
    return runs.size();
  }

  /** Sets the final status of a job and marks its runs to be stopped. */
  void finish(Job job, JobStatus status) {
    job.status = status;
    for (List<Step> steps : job.occurrences.values()) {
      for (Step step : steps) {
        for (Task task : step.tasks) {
          if (task.attempt != null) {
            task.attempt.stop();
          }
        }
      }
    }
    changes.add(job);
  }
}
