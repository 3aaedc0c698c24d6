package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.QueueConfig;
import org.laburnumarch.internal.job.TaskKey;

/**
 * Follows each run from its order to its end, by what workers answer and report.
 *
 * <p>A task gets a new run only when no earlier one can be going on: its end was reported, the
 * worker said that it never started, its start can no longer be obeyed, or the worker's lease has
 * run out.
 */
final class RunBook {

  /** Local time between two orders to stop the same run. */
  private static final long STOP_RETRY_MS = 300;

  /** Difference of a worker's clock to what is expected that answers on their way may cause. */
  private static final long CLOCK_TOLERANCE_MS = 1_500;

  private static final long REFUSAL_PAUSE_MS = 60;
  private static final long UNHEALTHY_PAUSE_MS = 800;

  private final Map<String, Job> jobs;
  private final TeamUse teamUse;
  private final ChangeLog changes;
  private final RunTimes runTimes;
  private final QueueLookup queues;

  /** Finds the configuration of a queue. */
  interface QueueLookup {
    Optional<QueueConfig> find(String queue);
  }

  RunBook(
      Map<String, Job> jobs,
      TeamUse teamUse,
      ChangeLog changes,
      RunTimes runTimes,
      QueueLookup queues) {
    this.jobs = jobs;
    this.teamUse = teamUse;
    this.changes = changes;
    this.runTimes = runTimes;
    this.queues = queues;
  }

  /** Enters a run that is about to be ordered. */
  Attempt open(Task task, Worker worker, long run, long nowMs, long startDeadlineClockMs) {
    Attempt attempt =
        new Attempt(
            task,
            worker,
            run,
            task.step.spec.reserved(),
            task.checkpoint,
            nowMs,
            startDeadlineClockMs);
    task.attempt = attempt;
    task.lastRun = run;
    task.step.job.hasStarted = true;
    enter(attempt);
    return attempt;
  }

  private void enter(Attempt attempt) {
    attempt.worker.add(attempt);
    teamUse.add(attempt.task.step.job.spec.team(), attempt.task.step.spec.need());
  }

  /** Removes a run that cannot be going on any more; its task may run again. */
  private void close(Attempt attempt) {
    if (attempt.worker.remove(attempt)) {
      teamUse.remove(attempt.task.step.job.spec.team(), attempt.task.step.spec.need());
    }
    Task task = attempt.task;
    if (task.attempt == attempt) {
      task.attempt = null;
    }
  }

  /** Deals with the answer to a start. */
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
    if (reply.workerClockMs() >= 0) {
      worker.readClock(reply.workerClockMs(), nowMs);
    }
    switch (reply.outcome()) {
      case OBEYED -> {
        attempt.phase = Attempt.Phase.RUNNING;
        attempt.isOfNextLife = isClockSetBack;
        attempt.confirmedClockMs = Math.max(attempt.confirmedClockMs, reply.workerClockMs());
      }
      case UNKNOWN -> {
        attempt.phase = Attempt.Phase.UNANSWERED;
        attempt.isStopWanted = true;
        worker.blockedUntilMs = Math.max(worker.blockedUntilMs, nowMs + REFUSAL_PAUSE_MS);
      }
      case NO_ROOM, LATE -> refuse(attempt, REFUSAL_PAUSE_MS, nowMs);
      case OUTDATED, TICKET, REJECTED -> refuse(attempt, 0, nowMs);
      case UNHEALTHY, UNREACHABLE, OTHER_INCARNATION, FENCED ->
          refuse(attempt, UNHEALTHY_PAUSE_MS, nowMs);
    }
  }

  private void refuse(Attempt attempt, long pauseMs, long nowMs) {
    Worker worker = attempt.worker;
    close(attempt);
    attempt.task.avoidedWorker = worker.id;
    attempt.task.notBeforeMs = nowMs + 2;
    if (pauseMs > 0) {
      worker.blockedUntilMs = Math.max(worker.blockedUntilMs, nowMs + pauseMs);
    }
  }

  /** Deals with the answer to a stop. */
  void onStopReply(Attempt attempt, OrderReply reply, long nowMs) {
    attempt.isStopInFlight = false;
    if (reply.workerClockMs() >= 0) {
      attempt.worker.readClock(reply.workerClockMs(), nowMs);
    }
    if (reply.outcome() == OrderReply.Outcome.OBEYED) {
      attempt.isStopConfirmed = true;
      attempt.confirmedClockMs = reply.workerClockMs();
    } else {
      attempt.nextStopAtMs = nowMs + STOP_RETRY_MS;
    }
  }

  /**
   * Deals with a worker's report. A report of an earlier life may be overtaken by the registry's
   * word of the next one; its ends must not be acknowledged there.
   *
   * @return runs that should not go on and are not known here, as stops to order
   */
  List<Order> onReport(Worker worker, WorkerReport report, long nowMs) {
    if (report.startedEpochMs() != 0 && report.startedEpochMs() < worker.startedEpochMs) {
      return List.of();
    }
    noteIncarnation(worker, report.startedEpochMs(), nowMs);
    worker.readClock(report.workerClockMs(), nowMs);
    worker.isFenced = true;
    worker.missedReports = 0;
    worker.lastReportTryMs = nowMs;
    Set<String> seen = new HashSet<>();
    for (EndedTask ended : report.ended()) {
      seen.add(Worker.attemptKey(ended.taskName(), ended.run()));
      if (ended.number() > worker.lastEndNumber) {
        worker.noteEnd(ended.number(), onEnd(worker, ended, nowMs));
      }
    }
    List<Order> strays = new ArrayList<>();
    for (RunningTask running : report.running()) {
      seen.add(Worker.attemptKey(running.taskName(), running.run()));
      onRunning(worker, running, report.workerClockMs(), nowMs).ifPresent(strays::add);
    }
    closeAbsent(worker, report, seen);
    return strays;
  }

  /** Notes when a worker's life began; if that has changed, nothing of before runs any more. */
  void noteIncarnation(Worker worker, long startedEpochMs, long nowMs) {
    // A registry entry may be older than the worker's own report.
    if (startedEpochMs <= worker.startedEpochMs) {
      return;
    }
    if (worker.startedEpochMs != 0 || worker.hasClock()) {
      // What has not been confirmed by the earlier life may be obeyed by the next one.
      List.copyOf(worker.attempts.values()).stream()
          .filter(attempt -> attempt.phase == Attempt.Phase.RUNNING && !attempt.isOfNextLife)
          .forEach(this::close);
      worker.attempts.values().forEach(attempt -> attempt.isOfNextLife = false);
    }
    worker.resetLife(startedEpochMs, nowMs);
  }

  /** Closes all runs on a worker on which nothing can run any more. */
  void closeAll(Worker worker) {
    List.copyOf(worker.attempts.values()).forEach(this::close);
  }

  private void closeAbsent(Worker worker, WorkerReport report, Set<String> seen) {
    for (Map.Entry<String, Attempt> entry : List.copyOf(worker.attempts.entrySet())) {
      Attempt attempt = entry.getValue();
      boolean isConfirmed = attempt.confirmedClockMs >= 0;
      long knownFromClockMs = isConfirmed ? attempt.confirmedClockMs : attempt.startDeadlineClockMs;
      if (!seen.contains(entry.getKey()) && report.workerClockMs() > knownFromClockMs) {
        close(attempt);
      }
    }
  }

  private Optional<Order> onRunning(
      Worker worker, RunningTask running, long workerClockMs, long nowMs) {
    Attempt attempt = worker.attempts.get(Worker.attemptKey(running.taskName(), running.run()));
    if (attempt == null) {
      attempt = adopt(worker, running, nowMs);
      if (attempt == null) {
        return Optional.of(new Order.Stop(worker.id, running.taskName(), running.run()));
      }
    }
    if (attempt.phase != Attempt.Phase.RUNNING) {
      attempt.phase = Attempt.Phase.RUNNING;
      attempt.confirmedClockMs = workerClockMs;
      // An unanswered start was to be stopped only because its outcome was not known.
      attempt.isStopWanted &= attempt.isStopInFlight || attempt.isStopConfirmed;
    }
    if (running.percent() != attempt.percent) {
      attempt.percent = running.percent();
      attempt.percentChangedAtMs = nowMs;
    }
    attempt.shownAtMs = nowMs;
    attempt.load = running.load();
    if (!running.checkpoint().isEmpty() && attempt.task.attempt == attempt) {
      attempt.task.checkpoint = running.checkpoint();
    }
    return Optional.empty();
  }

  /** Enters a run that an earlier owner started; null if its job is not known here. */
  private Attempt adopt(Worker worker, RunningTask running, long nowMs) {
    Task task = find(running.taskName());
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
    if (isWanted) {
      task.attempt = attempt;
      task.step.job.hasStarted = true;
    } else {
      attempt.isStopWanted = true;
    }
    attempt.phase = Attempt.Phase.RUNNING;
    attempt.confirmedClockMs = worker.clockMs(nowMs);
    enter(attempt);
    return attempt;
  }

  private Task find(String taskName) {
    Optional<TaskKey> key = TaskKey.parse(taskName);
    if (key.isEmpty()) {
      return null;
    }
    Job job = jobs.get(key.get().job());
    return job == null
        ? null
        : job.find(key.get().occurrence(), key.get().step(), key.get().index());
  }

  /** Deals with an end; returns the number of the change that must be stored before it is acked. */
  private long onEnd(Worker worker, EndedTask ended, long nowMs) {
    Attempt attempt = worker.attempts.get(Worker.attemptKey(ended.taskName(), ended.run()));
    Task task = attempt == null ? find(ended.taskName()) : attempt.task;
    boolean isStopOrdered = attempt != null && attempt.isStopWanted;
    if (attempt != null) {
      close(attempt);
    }
    if (task == null) {
      return 0;
    }
    task.lastRun = Math.max(task.lastRun, ended.run());
    boolean isCurrent = task.attempt == null;
    if (isCurrent && !ended.checkpoint().isEmpty()) {
      task.checkpoint = ended.checkpoint();
    }
    if (task.step.job.status.isFinal() || task.isDone) {
      return 0;
    }
    return switch (ended.how()) {
      case DONE -> onDone(worker, task, attempt, nowMs);
      case FAILED -> onFailed(worker, task, ended.run(), nowMs);
      case STOPPED, LAPSED, BROKEN, ALONE -> {
        if (!isStopOrdered) {
          task.avoidedWorker = worker.id;
        }
        yield 0;
      }
    };
  }

  private long onDone(Worker worker, Task task, Attempt attempt, long nowMs) {
    Step step = task.step;
    if (step.spec.isLongRunning()) {
      return 0;
    }
    if (attempt != null && attempt.checkpoint.isEmpty()) {
      long ranMs = nowMs - attempt.orderedAtMs;
      worker.health.noteDone(ranMs / runTimes.expectedMs(step.job.spec.queue(), step.spec));
      runTimes.note(step.job.spec.queue(), step.spec, ranMs);
    }
    if (step.spec.isGang()) {
      // One member's end stands for all of them.
      step.tasks.forEach(step::markDone);
    } else {
      step.markDone(task);
    }
    if (task.attempt != null) {
      task.attempt.isStopWanted = true;
    }
    step.job.closeDoneOccurrences();
    return changes.note(step.job);
  }

  private long onFailed(Worker worker, Task task, long run, long nowMs) {
    Job job = task.step.job;
    worker.blockedUntilMs =
        Math.max(worker.blockedUntilMs, nowMs + worker.health.noteFailure(job.spec.id()));
    task.avoidedWorker = worker.id;
    if (task.step.spec.isLongRunning()) {
      return 0;
    }
    task.failedRuns.add(run);
    int maxAttempts =
        queues.find(job.spec.queue()).map(QueueConfig::maxAttempts).orElse(Integer.MAX_VALUE);
    if (failedEnds(task.step, task) >= maxAttempts) {
      finish(job, JobStatus.FAILED);
    }
    return changes.note(job);
  }

  /** Returns the failed ends of a task, or of its gang, whose members fail together. */
  private static int failedEnds(Step step, Task task) {
    if (!step.spec.isGang()) {
      return task.failedRuns.size();
    }
    Set<Long> runs = new HashSet<>();
    step.tasks.forEach(member -> runs.addAll(member.failedRuns));
    return runs.size();
  }

  /** Gives a job its final status and stops what runs of it. */
  void finish(Job job, JobStatus status) {
    job.status = status;
    for (List<Step> steps : job.occurrences.values()) {
      for (Step step : steps) {
        for (Task task : step.tasks) {
          if (task.attempt != null) {
            task.attempt.isStopWanted = true;
          }
        }
      }
    }
    changes.note(job);
  }
}
