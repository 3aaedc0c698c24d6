package org.laburnumarch.internal.platform.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.job.TaskKey;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;
import org.laburnumarch.internal.platform.standin.StartDelayChecker.WaitingWork;
import org.laburnumarch.internal.platform.standin.WorkerStandIn.OrderKind;
import org.laburnumarch.internal.schedule.EndKind;
import org.laburnumarch.internal.schedule.EndedTask;
import org.laburnumarch.internal.time.SuspendAwareClock;

/**
 * Checks what workers and callers observe against the invariants that the system guarantees. It
 * knows every submitted job, but nothing of the state of the daemons. Thread-safe.
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

  /** Formatted on demand, because the events of a run that follow its breach belong to it, too. */
  private final List<Supplier<String>> breaches = new ArrayList<>();

  private final WrittenConfigs configs = new WrittenConfigs();
  private final int runTimeSpreadPercent;
  private Consumer<SimulatedWorker> fatalStartListener = worker -> {};
  private long starts;

  /**
   * Creates a checker without observations.
   *
   * @param trace receives one line for each event on a worker
   */
  public InvariantChecker(SuspendAwareClock clock, Consumer<String> trace) {
    this(clock, trace, 0);
  }

  /**
   * Creates a checker without observations.
   *
   * @param clock used by no other thread
   * @param trace receives one line for each event on a worker
   */
  public InvariantChecker(SuspendAwareClock clock, Consumer<String> trace, PlatformLayout layout) {
    this(clock, trace, layout.runTimeSpreadPercent());
  }

  private InvariantChecker(
      SuspendAwareClock clock, Consumer<String> trace, int runTimeSpreadPercent) {
    this.clock = clock;
    this.trace = trace;
    this.runTimeSpreadPercent = runTimeSpreadPercent;
  }

  private void trace(String event, SimulatedWorker worker, String task, long run, String detail) {
    trace.accept(
        clock.epochMs() + " " + event + ' ' + worker.id() + ' ' + task + ' ' + run + ' ' + detail);
  }

  /** Returns the breaches in the order of their detection; empty if every invariant held. */
  public synchronized List<String> breaches() {
    return breaches.stream().map(Supplier::get).toList();
  }

  /** Returns how many runs have started. */
  public synchronized long starts() {
    return starts;
  }

  /** Records a breach. */
  public synchronized void recordBreach(String invariant, String detail) {
    recordBreach(invariant, () -> detail);
  }

  private void recordBreach(String invariant, Supplier<String> detail) {
    String prefix = clock.epochMs() + " " + invariant + ": ";
    breaches.add(() -> prefix + detail.get());
  }

  /** Records that a new version of the configuration is about to be written. */
  public synchronized void onConfigWritten(OperatorConfig config) {
    configs.add(config, clock.nowMs());
  }

  /** Sets what is called when a task has started that crashes its worker. */
  synchronized void onFatalStart(Consumer<SimulatedWorker> listener) {
    fatalStartListener = listener;
  }

  private LongStream teamLimits(String team) {
    return configs.isEmpty()
        ? LongStream.of(TEAM_CPU_MILLIS)
        : configs.teamLimits(team, clock.nowMs());
  }

  private Optional<String> poolOf(SubmittedJob submitted) {
    return configs.isEmpty()
        ? Optional.of(submitted.service)
        : configs.poolOf(submitted.job.queue(), clock.nowMs());
  }

  private boolean hasRoute(SubmittedJob submitted, String pool) {
    return configs.isEmpty()
        ? submitted.service.equals(pool)
        : configs.hasRoute(submitted.job.queue(), pool);
  }

  /** Records that a job is about to be submitted for the first time. */
  public synchronized void onSubmit(JobSpec job, String service) {
    jobs.put(job.id(), new SubmittedJob(job, service));
  }

  /** Records that a job was accepted. */
  public synchronized void onAccepted(String jobId) {
    SubmittedJob submitted = jobs.get(jobId);
    if (submitted.acceptedAtMs < 0) {
      submitted.acceptedAtMs = clock.nowMs();
    }
  }

  /** Records that every attempt to submit a job was refused. */
  public synchronized void onRefused(String jobId) {
    jobs.get(jobId).isRefused = true;
  }

  /** Records that a cancellation is about to be sent. */
  public synchronized void onCancelRequested(String jobId) {
    jobs.get(jobId).isCancelRequested = true;
  }

  /** Records that a cancellation was confirmed, or answered with the job's being unknown. */
  public synchronized void onCancelConfirmed(String jobId) {
    SubmittedJob submitted = jobs.get(jobId);
    if (submitted.cancelConfirmedAtMs < 0) {
      submitted.cancelConfirmedAtMs = clock.nowMs();
    }
  }

  /**
   * Checks the response of a daemon that does not know a job; the status was requested at {@code
   * requestedAtMs}.
   */
  public synchronized void onUnknownJob(String jobId, long requestedAtMs) {
    SubmittedJob submitted = jobs.get(jobId);
    boolean mustBeKnown =
        submitted.acceptedAtMs >= 0 && requestedAtMs - submitted.acceptedAtMs > MAX_TIME_UNKNOWN_MS;
    if (mustBeKnown && !submitted.isCancelRequested) {
      recordBreach("LOST", jobId + " was accepted but is unknown");
    }
  }

  /**
   * Checks a job status that a daemon reported to a caller; it was requested at {@code
   * requestedAtMs}.
   */
  public synchronized void onStatusReported(String jobId, JobStatus status, long requestedAtMs) {
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
        if (submitted.cancelConfirmedAtMs >= 0
            && requestedAtMs - submitted.cancelConfirmedAtMs > MAX_TIME_UNKNOWN_MS) {
          recordBreach(
              "UNASKED",
              jobId
                  + " is reported as "
                  + status.label()
                  + " after its cancellation was confirmed");
        }
      }
    }
  }

  /**
   * Describes the accepted jobs that are not finished, and the long-running tasks that do not run;
   * empty if there are none. Cancelled jobs are left out.
   */
  public synchronized List<String> unfinishedWork() {
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
  public synchronized List<String> openJobs() {
    return jobs.values().stream()
        .filter(submitted -> submitted.acceptedAtMs >= 0 && !submitted.reportedStatus.isFinal())
        .map(submitted -> submitted.job.id())
        .toList();
  }

  /** Returns the queue that a job was submitted to. */
  public synchronized String queueOf(String jobId) {
    return jobs.get(jobId).job.queue();
  }

  /** Returns how many jobs were accepted. */
  public synchronized long acceptedJobs() {
    return jobs.values().stream().filter(submitted -> submitted.acceptedAtMs >= 0).count();
  }

  /**
   * Returns the work that may run and does not, of teams that use less than half of their limit.
   */
  synchronized List<WaitingWork> waitingWork() {
    List<WaitingWork> waiting = new ArrayList<>();
    for (SubmittedJob submitted : jobs.values()) {
      boolean isJudged =
          submitted.isOwed()
              && !submitted.reportedStatus.isFinal()
              && (submitted.job.isLongRunning() || !hasFailedTask(submitted))
              && teamCpuMillis.getOrDefault(submitted.job.team(), 0L)
                  < teamLimits(submitted.job.team()).min().orElse(0) / 2;
      Optional<String> pool = poolOf(submitted);
      if (isJudged && pool.isPresent()) {
        List<WaitingWork> ofJob = waitingTasks(submitted, pool.get());
        if (submitted.job.isLongRunning()) {
          waiting.addAll(ofJob);
        } else if (submitted.taskNames().stream().noneMatch(name -> history(name).isRunning())) {
          ofJob.stream().limit(1).forEach(waiting::add);
        }
      }
    }
    return waiting;
  }

  private List<WaitingWork> waitingTasks(SubmittedJob submitted, String pool) {
    List<WaitingWork> waiting = new ArrayList<>();
    for (int number = 0; number < submitted.job.steps().size(); number++) {
      StepSpec step = submitted.job.steps().get(number);
      if (!areStepsDone(submitted, step.after())) {
        continue;
      }
      for (String task : submitted.taskNames(number)) {
        if (!history(task).isRunning() && !history(task).isDone()) {
          waiting.add(
              new WaitingWork(
                  step.isLongRunning() ? task : submitted.job.id(),
                  task,
                  step,
                  submitted.job.queue(),
                  submitted.job.team(),
                  pool,
                  step.isLongRunning() ? history(task).lastEndAtMs : -1));
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
  public synchronized Behaviour behaviour(String task, long run, long nowMs) {
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
    boolean isFailing =
        Math.floorMod(hash, TaskProgram.of(submitted.get().job.program()).oneFailureIn()) == 0;
    return new Behaviour(nowMs + runMs(step, hash), isFailing, step.need(), step.isCheckpointing());
  }

  private long runMs(StepSpec step, int hash) {
    int deviationPercent = Math.floorMod(hash, 2 * runTimeSpreadPercent + 1) - runTimeSpreadPercent;
    return step.estimatedRunMs() * (100 + deviationPercent) / 100;
  }

  @Override
  public synchronized void onOrder(
      SimulatedWorker worker, OrderKind kind, String task, long run, long fencingToken) {
    trace(kind.label(), worker, task, run, "token=" + fencingToken);
    history(task)
        .run(worker, task, run)
        .add(kind.label() + " with token " + fencingToken, clock.epochMs());
  }

  @Override
  public synchronized void onStart(SimulatedWorker worker, String task, long run) {
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
    ObservedRun started = history.run(worker, task, run);
    started.add("started", clock.epochMs());
    if (!step(submitted, task).isSpeculative()) {
      checkStartsOnce(history, started);
    }
    if (submitted.isRefused) {
      recordBreach("REFUSED", runDescription + " belongs to a refused job");
    }
    if (!hasRoute(submitted, worker.service())) {
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
    String stepName = task.substring(0, task.lastIndexOf('.') + 1);
    if (step.maxPerWorker() > 0 && worker.countRuns(stepName) > step.maxPerWorker()) {
      recordBreach("ROUTE", runDescription + " exceeds the step's limit of " + step.maxPerWorker());
    }
    if (TaskProgram.of(submitted.job.program()) == TaskProgram.CRASHES) {
      fatalStartListener.accept(worker);
    }
    history.running.add(started);
    long cpuMillis = teamCpuMillis.merge(submitted.job.team(), step.need().cpuMillis(), Long::sum);
    long limitCpuMillis = teamLimits(submitted.job.team()).max().orElse(0);
    if (cpuMillis > limitCpuMillis * TEAM_LIMIT_FACTOR + step.need().cpuMillis()) {
      recordBreach(
          "QUOTA",
          runDescription + " raises the CPU use of " + submitted.job.team() + " to " + cpuMillis);
    }
  }

  private void checkStartsOnce(TaskHistory history, ObservedRun started) {
    if (history.isRunning()) {
      List<ObservedRun> others = List.copyOf(history.running);
      recordBreach("TWICE", () -> started + " starts while it runs: " + others);
    }
    history
        .acknowledgedSuccess()
        .ifPresent(
            earlier ->
                recordBreach(
                    "TWICE",
                    () -> started + " starts after an acknowledged successful end: " + earlier));
    history.supersede(started);
  }

  @Override
  public synchronized void onEnd(SimulatedWorker worker, EndedTask end) {
    trace("end", worker, end.taskName(), end.run(), end.how() + " number=" + end.number());
    TaskHistory history = history(end.taskName());
    // A long-running task runs again however it ended.
    boolean isLongRunning =
        submitted(end.taskName()).filter(owner -> owner.job.isLongRunning()).isPresent();
    ObservedRun ended = history.run(worker, end.taskName(), end.run());
    ended.end(end.how(), end.how() == EndKind.DONE && !isLongRunning, clock.epochMs());
    removeRun(ended, end.taskName());
    if (end.how() == EndKind.FAILED && !isLongRunning) {
      history.failedRuns.add(end.run());
    }
  }

  @Override
  public synchronized void onAcknowledged(SimulatedWorker worker, EndedTask end) {
    trace("acknowledged", worker, end.taskName(), end.run(), "number=" + end.number());
    ObservedRun acknowledged = history(end.taskName()).run(worker, end.taskName(), end.run());
    acknowledged.acknowledge(clock.epochMs());
    ObservedRun later = acknowledged.successor();
    if (later != null) {
      recordBreach(
          "TWICE",
          () -> later + " started after a successful end that was acknowledged: " + acknowledged);
    }
  }

  @Override
  public synchronized void onAcknowledgedAhead(
      SimulatedWorker worker, long acknowledgedEnd, long listedEnd, long fencingToken) {
    trace.accept(
        clock.epochMs()
            + " acknowledged ahead "
            + worker.id()
            + " number="
            + acknowledgedEnd
            + " listed="
            + listedEnd
            + " token="
            + fencingToken);
  }

  @Override
  public synchronized void onLost(SimulatedWorker worker, String task, long run) {
    trace("lost", worker, task, run, "");
    if (!worker.isLeaving()) {
      history(task).crashedRuns++;
    }
    ObservedRun lost = history(task).run(worker, task, run);
    lost.add("lost with its worker", clock.epochMs());
    removeRun(lost, task);
  }

  private void removeRun(ObservedRun run, String task) {
    history(task).lastEndAtMs = clock.nowMs();
    if (history(task).running.remove(run)) {
      submitted(task)
          .ifPresent(
              submitted ->
                  teamCpuMillis.merge(
                      submitted.job.team(), -step(submitted, task).need().cpuMillis(), Long::sum));
    }
  }
}
