package org.laburnumarch.internal.platform.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.job.TaskKey;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;
import org.laburnumarch.internal.platform.standin.StartDelayChecker.WaitingWork;
import org.laburnumarch.internal.schedule.EndKind;
import org.laburnumarch.internal.schedule.EndedTask;
import org.laburnumarch.internal.time.SuspendAwareClock;

/**
 * Checks what workers and callers observe against the invariants that the system guarantees. It
 * knows every submitted job, but nothing of the state of the daemons.
 */
public final class InvariantChecker
    implements SimulatedWorker.Observer, WorkerStandIn.TaskBehaviours {

  /** Number of failed runs of one task after which its job fails. */
  static final int MAX_ATTEMPTS = 3;

  /** Number of workers that crashed under a task after which it may be given up. */
  private static final int CRASHES_TO_GIVE_UP = 2;

  /** Limit of one team's running tasks, in thousandths of a processor core. */
  static final long TEAM_CPU_MILLIS = 24_000;

  /** Factor by which a team's limit may be exceeded while daemons are replaced or take over. */
  private static final double TEAM_LIMIT_FACTOR = 1.1;

  /** Longest time after a confirmed cancellation in which a task of the job may still start. */
  private static final long MAX_START_AFTER_CANCEL_MS = 4_000;

  /** Longest time after its acceptance in which a job may be unknown to some daemons. */
  private static final long MAX_TIME_UNKNOWN_MS = 3_000;

  /** One in this many runs fails, chosen by a hash of its task name and run number. */
  private static final int ONE_FAILURE_IN = 40;

  // A run of a long-running task ends by itself, done or failed, after a time between these.
  private static final int MIN_LONG_RUN_MS = 4_000;
  private static final int MAX_LONG_RUN_MS = 30_000;

  /** One in this many runs of long-running tasks fails; the others end as done. */
  private static final int ONE_LONG_RUN_FAILURE_IN = 8;

  private final SuspendAwareClock clock;
  private final Consumer<String> trace;
  private final Map<String, SubmittedJob> jobs = new LinkedHashMap<>();
  private final Map<String, TaskHistory> tasks = new HashMap<>();
  private final Map<String, Long> teamCpuMillis = new HashMap<>();
  private final List<String> breaches = new ArrayList<>();
  private long starts;

  /**
   * Creates a checker without observations.
   *
   * @param trace receives one line for each event on a worker
   */
  public InvariantChecker(SuspendAwareClock clock, Consumer<String> trace) {
    this.clock = clock;
    this.trace = trace;
  }

  private void trace(String event, SimulatedWorker worker, String task, long run, String detail) {
    trace.accept(
        clock.epochMs() + " " + event + ' ' + worker.id() + ' ' + task + ' ' + run + ' ' + detail);
  }

  /** Returns the breaches in the order of their detection; empty if every invariant held. */
  public List<String> breaches() {
    return List.copyOf(breaches);
  }

  /** Returns how many runs have started. */
  public long starts() {
    return starts;
  }

  /** Records a breach. */
  public void recordBreach(String invariant, String detail) {
    breaches.add(clock.epochMs() + " " + invariant + ": " + detail);
  }

  /** Records that a job is about to be submitted for the first time. */
  public void onSubmit(JobSpec job, String service) {
    jobs.put(job.id(), new SubmittedJob(job, service));
  }

  /** Records that a job was accepted. */
  public void onAccepted(String jobId) {
    SubmittedJob submitted = jobs.get(jobId);
    if (submitted.acceptedAtMs < 0) {
      submitted.acceptedAtMs = clock.nowMs();
    }
  }

  /** Records that every attempt to submit a job was refused. */
  public void onRefused(String jobId) {
    jobs.get(jobId).isRefused = true;
  }

  /** Records that a cancellation is about to be sent. */
  public void onCancelRequested(String jobId) {
    jobs.get(jobId).isCancelRequested = true;
  }

  /** Records that a cancellation was confirmed. */
  public void onCancelConfirmed(String jobId) {
    jobs.get(jobId).cancelConfirmedAtMs = clock.nowMs();
  }

  /**
   * Checks the response of a daemon that does not know a job; the status was requested at {@code
   * requestedAtMs}.
   */
  public void onUnknownJob(String jobId, long requestedAtMs) {
    SubmittedJob submitted = jobs.get(jobId);
    boolean mustBeKnown =
        submitted.acceptedAtMs >= 0 && requestedAtMs - submitted.acceptedAtMs > MAX_TIME_UNKNOWN_MS;
    if (mustBeKnown && !submitted.isCancelRequested) {
      recordBreach("LOST", jobId + " was accepted but is unknown");
    }
  }

  /** Checks a job status that a daemon reported to a caller. */
  public void onStatusReported(String jobId, JobStatus status) {
    SubmittedJob submitted = jobs.get(jobId);
    submitted.reportedStatus = status;
    switch (status) {
      case COMPLETED -> {
        if (submitted.taskNames().stream().anyMatch(name -> !history(name).isDone())) {
          recordBreach("MIXED", jobId + " is reported as completed before all its tasks are done");
        }
      }
      case FAILED -> {
        if (!hasFailedTask(submitted)) {
          recordBreach(
              "LOST",
              jobId
                  + " is reported as failed although no task reached the attempt limit or crashed"
                  + " workers; most crashes under a task: "
                  + submitted.taskNames().stream()
                      .mapToInt(name -> history(name).crashedRuns)
                      .max()
                      .orElse(0));
        }
      }
      case CANCELLED -> {
        if (!submitted.isCancelRequested) {
          recordBreach("LOST", jobId + " is reported as cancelled without a cancellation");
        }
      }
      case QUEUED, RUNNING -> {
        // Both may be reported at any time.
      }
    }
  }

  /**
   * Describes the accepted jobs that are not finished, and the long-running tasks that do not run;
   * empty if there are none. Cancelled jobs are left out.
   */
  public List<String> unfinishedWork() {
    List<String> unfinished = new ArrayList<>();
    for (SubmittedJob submitted : jobs.values()) {
      if (!submitted.isOwed()) {
        continue;
      }
      if (submitted.job.isLongRunning()) {
        submitted.taskNames().stream()
            .filter(name -> !history(name).isRunning())
            .forEach(name -> unfinished.add(name + " is long-running and does not run"));
      } else if (!submitted.reportedStatus.isFinal()) {
        unfinished.add(submitted.job.id() + " is reported as " + submitted.reportedStatus.label());
      }
    }
    return unfinished;
  }

  /** Returns the accepted jobs whose last reported status is not final. */
  public List<String> openJobs() {
    return jobs.values().stream()
        .filter(submitted -> submitted.acceptedAtMs >= 0 && !submitted.reportedStatus.isFinal())
        .map(submitted -> submitted.job.id())
        .toList();
  }

  /** Returns the queue that a job was submitted to. */
  public String queueOf(String jobId) {
    return jobs.get(jobId).job.queue();
  }

  /** Returns how many jobs were accepted. */
  public long acceptedJobs() {
    return jobs.values().stream().filter(submitted -> submitted.acceptedAtMs >= 0).count();
  }

  /**
   * Returns the work that may run and does not, of teams that use less than half of their limit.
   */
  List<WaitingWork> waitingWork() {
    List<WaitingWork> waiting = new ArrayList<>();
    for (SubmittedJob submitted : jobs.values()) {
      boolean isJudged =
          submitted.isOwed()
              && !submitted.reportedStatus.isFinal()
              && !hasFailedTask(submitted)
              && teamCpuMillis.getOrDefault(submitted.job.team(), 0L) < TEAM_CPU_MILLIS / 2;
      if (isJudged) {
        List<WaitingWork> ofJob = waitingTasks(submitted);
        if (submitted.job.isLongRunning()) {
          waiting.addAll(ofJob);
        } else if (submitted.taskNames().stream().noneMatch(name -> history(name).isRunning())) {
          ofJob.stream().limit(1).forEach(waiting::add);
        }
      }
    }
    return waiting;
  }

  private List<WaitingWork> waitingTasks(SubmittedJob submitted) {
    List<WaitingWork> waiting = new ArrayList<>();
    for (int number = 0; number < submitted.job.steps().size(); number++) {
      StepSpec step = submitted.job.steps().get(number);
      if (!areStepsDone(submitted, step.after())) {
        continue;
      }
      for (String task : submitted.taskNames(number)) {
        if (!history(task).isRunning() && !history(task).isDone()) {
          waiting.add(
              step.isLongRunning()
                  ? new WaitingWork(task, submitted.service, step.need(), history(task).lastEndAtMs)
                  : new WaitingWork(submitted.job.id(), submitted.service, step.need(), -1));
        }
      }
    }
    return waiting;
  }

  private boolean areStepsDone(SubmittedJob submitted, List<Integer> steps) {
    return steps.stream()
        .flatMap(step -> submitted.taskNames(step).stream())
        .allMatch(name -> history(name).isDone());
  }

  private boolean hasFailedTask(SubmittedJob submitted) {
    return submitted.taskNames().stream()
        .anyMatch(
            name ->
                history(name).failedRuns.size() >= MAX_ATTEMPTS
                    || history(name).crashedRuns >= CRASHES_TO_GIVE_UP);
  }

  private TaskHistory history(String task) {
    return tasks.computeIfAbsent(task, name -> new TaskHistory());
  }

  private Optional<SubmittedJob> submitted(String task) {
    return TaskKey.parse(task).map(key -> jobs.get(key.job()));
  }

  private static StepSpec step(SubmittedJob submitted, String task) {
    return submitted.job.steps().get(TaskKey.parse(task).orElseThrow().step());
  }

  @Override
  public Behaviour behaviour(String task, long run, long nowMs) {
    Optional<SubmittedJob> submitted = submitted(task);
    if (submitted.isEmpty()) {
      return new Behaviour(nowMs, true, SimulatedWorker.CAPACITY);
    }
    StepSpec step = step(submitted.get(), task);
    int hash = (task + run).hashCode();
    if (step.isLongRunning()) {
      long runMs = (long) MIN_LONG_RUN_MS + Math.floorMod(hash, MAX_LONG_RUN_MS - MIN_LONG_RUN_MS);
      return new Behaviour(nowMs + runMs, hash % ONE_LONG_RUN_FAILURE_IN == 0, step.need());
    }
    boolean isFailing = Math.floorMod(hash, ONE_FAILURE_IN) == 0;
    return new Behaviour(nowMs + step.estimatedRunMs(), isFailing, step.need());
  }

  @Override
  public void onStart(SimulatedWorker worker, String task, long run) {
    starts++;
    trace("start", worker, task, run, "");
    Optional<SubmittedJob> found = submitted(task);
    if (found.isEmpty()) {
      recordBreach("UNASKED", task + " run " + run + " belongs to no job");
      return;
    }
    SubmittedJob submitted = found.get();
    TaskHistory history = history(task);
    String runDescription = task + " run " + run + " on " + worker.id();
    if (history.isRunning()) {
      recordBreach("TWICE", runDescription + " starts while it runs on " + history.runsByWorker);
    }
    if (history.isDoneAcknowledged) {
      recordBreach(
          "TWICE", runDescription + " starts although an earlier successful end was acknowledged");
    }
    if (submitted.isRefused) {
      recordBreach("REFUSED", runDescription + " belongs to a refused job");
    }
    if (!submitted.service.equals(worker.service())) {
      recordBreach("ROUTE", runDescription + " is in the pool of " + worker.service());
    }
    if (submitted.cancelConfirmedAtMs >= 0
        && clock.nowMs() - submitted.cancelConfirmedAtMs > MAX_START_AFTER_CANCEL_MS) {
      recordBreach("UNASKED", runDescription + " starts after its job was cancelled");
    }
    StepSpec step = step(submitted, task);
    for (int earlier : step.after()) {
      if (!areStepsDone(submitted, List.of(earlier))) {
        recordBreach("ORDER", runDescription + " starts before step " + earlier + " is done");
      }
    }
    history.supersededRuns.addAll(history.successfulRuns);
    history.runsByWorker.put(worker.id(), run);
    long cpuMillis = teamCpuMillis.merge(submitted.job.team(), step.need().cpuMillis(), Long::sum);
    if (cpuMillis > TEAM_CPU_MILLIS * TEAM_LIMIT_FACTOR + step.need().cpuMillis()) {
      recordBreach(
          "QUOTA",
          runDescription + " raises the CPU use of " + submitted.job.team() + " to " + cpuMillis);
    }
  }

  @Override
  public void onEnd(SimulatedWorker worker, EndedTask end) {
    trace("end", worker, end.taskName(), end.run(), end.how() + " number=" + end.number());
    TaskHistory history = history(end.taskName());
    removeRun(worker, end.taskName());
    if (submitted(end.taskName()).filter(owner -> owner.job.isLongRunning()).isPresent()) {
      return; // It runs again however it ended.
    }
    if (end.how() == EndKind.DONE) {
      history.successfulRuns.add(end.run());
    } else if (end.how() == EndKind.FAILED) {
      history.failedRuns.add(end.run());
    }
  }

  @Override
  public void onAcknowledged(SimulatedWorker worker, EndedTask end) {
    trace("acknowledged", worker, end.taskName(), end.run(), "number=" + end.number());
    TaskHistory history = history(end.taskName());
    if (end.how() == EndKind.DONE && history.successfulRuns.contains(end.run())) {
      history.isDoneAcknowledged = true;
      if (history.supersededRuns.contains(end.run())) {
        recordBreach(
            "TWICE",
            end.taskName()
                + " started again after run "
                + end.run()
                + ", whose end was acknowledged");
      }
    }
  }

  @Override
  public void onLost(SimulatedWorker worker, String task, long run) {
    trace("lost", worker, task, run, "");
    if (!worker.isLeaving()) {
      history(task).crashedRuns++;
    }
    removeRun(worker, task);
  }

  private void removeRun(SimulatedWorker worker, String task) {
    history(task).lastEndAtMs = clock.nowMs();
    boolean wasRunning = history(task).runsByWorker.remove(worker.id()) != null;
    if (wasRunning) {
      submitted(task)
          .ifPresent(
              submitted ->
                  teamCpuMillis.merge(
                      submitted.job.team(), -step(submitted, task).need().cpuMillis(), Long::sum));
    }
  }
}
