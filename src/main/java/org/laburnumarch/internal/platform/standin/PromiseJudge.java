package org.laburnumarch.internal.platform.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.job.TaskKey;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;
import org.laburnumarch.internal.schedule.EndKind;
import org.laburnumarch.internal.schedule.EndedTask;
import org.laburnumarch.internal.time.LocalClock;

/**
 * Judges what workers and callers see against what the system promises. It knows every job that was
 * submitted, and nothing of what the daemons believe.
 */
public final class PromiseJudge implements SimulatedWorker.Observer, WorkerStandIn.Tasks {

  /** Failed ends of one task after which its job has failed. */
  static final int MAX_ATTEMPTS = 3;

  /** Processor time that one team may have running, in thousandths of a core. */
  static final long TEAM_CPU_MILLIS = 24_000;

  /** Part by which a team's limit may be exceeded while daemons change. */
  private static final double TEAM_OVERAGE = 1.1;

  /** Time after a confirmed cancellation from which no task of the job may start. */
  private static final long CANCEL_BOUND_MS = 4_000;

  /** Time after its acceptance from which a job must be known to every daemon. */
  private static final long VISIBLE_BOUND_MS = 3_000;

  /** One of this many runs fails, chosen by a hash of its name. */
  private static final int FAILING_ONE_IN = 40;

  private static final class History {
    private final Map<String, Long> runningOn = new HashMap<>();
    private final Set<Long> failedRuns = new HashSet<>();

    /** Runs that ended as done; a worker that restarts may lose such an end. */
    private final Set<Long> doneRuns = new HashSet<>();

    /** Done runs after whose end another run began. */
    private final Set<Long> overtakenRuns = new HashSet<>();

    private boolean isDoneAcknowledged;

    boolean isDone() {
      return !doneRuns.isEmpty();
    }
  }

  private static final class Submitted {
    private final JobSpec job;
    private final String service;
    private long acceptedAtMs = -1;
    private long cancelConfirmedAtMs = -1;
    private boolean isCancelRequested;
    private boolean isRefused;
    private JobStatus shown = JobStatus.QUEUED;

    Submitted(JobSpec job, String service) {
      this.job = job;
      this.service = service;
    }
  }

  private final LocalClock clock;
  private final Consumer<String> trace;
  private final Map<String, Submitted> jobs = new LinkedHashMap<>();
  private final Map<String, History> tasks = new HashMap<>();
  private final Map<String, Long> teamCpuMillis = new HashMap<>();
  private final List<String> breaches = new ArrayList<>();
  private long starts;

  /**
   * Creates a judge that has seen nothing.
   *
   * @param trace takes a line for each event on a worker
   */
  public PromiseJudge(LocalClock clock, Consumer<String> trace) {
    this.clock = clock;
    this.trace = trace;
  }

  private void trace(String event, SimulatedWorker worker, String task, long run, String more) {
    trace.accept(
        clock.epochMs() + " " + event + ' ' + worker.id() + ' ' + task + ' ' + run + ' ' + more);
  }

  /** Returns what was broken, in order; empty if nothing was. */
  public List<String> breaches() {
    return List.copyOf(breaches);
  }

  /** Returns how many runs have begun. */
  public long starts() {
    return starts;
  }

  /** Notes a breach that was found elsewhere. */
  public void breach(String promise, String detail) {
    breaches.add(clock.epochMs() + " " + promise + ": " + detail);
  }

  /** Notes that a job is about to be submitted for the first time. */
  public void onSubmit(JobSpec job, String service) {
    jobs.put(job.id(), new Submitted(job, service));
  }

  /** Notes that a job was accepted. */
  public void onAccepted(String jobId) {
    Submitted submitted = jobs.get(jobId);
    if (submitted.acceptedAtMs < 0) {
      submitted.acceptedAtMs = clock.nowMs();
    }
  }

  /** Notes that every attempt to submit a job was refused. */
  public void onRefused(String jobId) {
    jobs.get(jobId).isRefused = true;
  }

  /** Notes that a cancellation is about to be sent. */
  public void onCancelRequested(String jobId) {
    jobs.get(jobId).isCancelRequested = true;
  }

  /** Notes that a cancellation was confirmed. */
  public void onCancelConfirmed(String jobId) {
    jobs.get(jobId).cancelConfirmedAtMs = clock.nowMs();
  }

  /** Notes that a daemon does not know a job that was asked for at {@code askedAtMs}. */
  public void onUnknown(String jobId, long askedAtMs) {
    Submitted submitted = jobs.get(jobId);
    boolean isOld =
        submitted.acceptedAtMs >= 0 && askedAtMs - submitted.acceptedAtMs > VISIBLE_BOUND_MS;
    if (isOld && !submitted.isCancelRequested) {
      breach("LOST", jobId + " was accepted and is not known");
    }
  }

  /** Notes the status that a caller was shown. */
  public void onShown(String jobId, JobStatus status) {
    Submitted submitted = jobs.get(jobId);
    submitted.shown = status;
    switch (status) {
      case COMPLETED -> {
        if (taskNames(submitted.job).stream().anyMatch(name -> !history(name).isDone())) {
          breach("MIXED", jobId + " is shown as completed while a task has not ended");
        }
      }
      case FAILED -> {
        boolean hasCause =
            taskNames(submitted.job).stream()
                .anyMatch(name -> history(name).failedRuns.size() >= MAX_ATTEMPTS);
        if (!hasCause) {
          breach("LOST", jobId + " is shown as failed without cause");
        }
      }
      case CANCELLED -> {
        if (!submitted.isCancelRequested) {
          breach("LOST", jobId + " is shown as cancelled and nobody cancelled it");
        }
      }
      case QUEUED, RUNNING -> {
        // Both may be shown at any time.
      }
    }
  }

  /** Returns accepted jobs that have not reached what they must reach; empty when all is well. */
  public List<String> unfinished() {
    List<String> open = new ArrayList<>();
    for (Submitted submitted : jobs.values()) {
      if (submitted.acceptedAtMs < 0 || submitted.isCancelRequested) {
        continue;
      }
      if (isLasting(submitted.job)) {
        taskNames(submitted.job).stream()
            .filter(name -> history(name).runningOn.isEmpty())
            .forEach(name -> open.add(name + " is to last and does not run"));
      } else if (!submitted.shown.isFinal()) {
        open.add(submitted.job.id() + " is shown as " + submitted.shown.label());
      }
    }
    return open;
  }

  /** Returns the accepted jobs whose status is of interest. */
  public List<String> openJobs() {
    return jobs.values().stream()
        .filter(submitted -> submitted.acceptedAtMs >= 0 && !submitted.shown.isFinal())
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

  private static boolean isLasting(JobSpec job) {
    return job.steps().stream().anyMatch(StepSpec::isLongRunning);
  }

  private static List<String> taskNames(JobSpec job) {
    List<String> names = new ArrayList<>();
    for (int step = 0; step < job.steps().size(); step++) {
      names.addAll(taskNames(job, step));
    }
    return names;
  }

  private static List<String> taskNames(JobSpec job, int step) {
    List<String> names = new ArrayList<>();
    for (int index = 0; index < job.steps().get(step).count(); index++) {
      names.add(new TaskKey(job.id(), 0, step, index).wireName());
    }
    return names;
  }

  private History history(String task) {
    return tasks.computeIfAbsent(task, name -> new History());
  }

  private Optional<Submitted> submitted(String task) {
    return TaskKey.parse(task).map(key -> jobs.get(key.job()));
  }

  private static StepSpec step(Submitted submitted, String task) {
    return submitted.job.steps().get(TaskKey.parse(task).orElseThrow().step());
  }

  @Override
  public Behaviour behaviour(String task, long run, long nowMs) {
    Optional<Submitted> submitted = submitted(task);
    if (submitted.isEmpty()) {
      return new Behaviour(nowMs, true, SimulatedWorker.CAPACITY);
    }
    StepSpec step = step(submitted.get(), task);
    boolean isFailing = Math.floorMod((task + run).hashCode(), FAILING_ONE_IN) == 0;
    long endsAtMs = step.isLongRunning() ? Long.MAX_VALUE : nowMs + step.estimatedRunMs();
    return new Behaviour(endsAtMs, isFailing && !step.isLongRunning(), step.need());
  }

  @Override
  public void onStart(SimulatedWorker worker, String task, long run) {
    starts++;
    trace("start", worker, task, run, "");
    Optional<Submitted> found = submitted(task);
    if (found.isEmpty()) {
      breach("UNASKED", task + " run " + run + " belongs to no job");
      return;
    }
    Submitted submitted = found.get();
    History history = history(task);
    String what = task + " run " + run + " on " + worker.id();
    if (!history.runningOn.isEmpty()) {
      breach("TWICE", what + " starts while it runs on " + history.runningOn);
    }
    if (history.isDoneAcknowledged) {
      breach("TWICE", what + " starts after its end was acknowledged");
    }
    if (submitted.isRefused) {
      breach("REFUSED", what + " belongs to a job that was refused");
    }
    if (!submitted.service.equals(worker.service())) {
      breach("ROUTE", what + " is in the pool of " + worker.service());
    }
    if (submitted.cancelConfirmedAtMs >= 0
        && clock.nowMs() - submitted.cancelConfirmedAtMs > CANCEL_BOUND_MS) {
      breach("UNASKED", what + " starts after its job was cancelled");
    }
    StepSpec step = step(submitted, task);
    for (int earlier : step.after()) {
      if (taskNames(submitted.job, earlier).stream().anyMatch(name -> !history(name).isDone())) {
        breach("ORDER", what + " starts before step " + earlier + " has ended");
      }
    }
    history.overtakenRuns.addAll(history.doneRuns);
    history.runningOn.put(worker.id(), run);
    long cpuMillis = teamCpuMillis.merge(submitted.job.team(), step.need().cpuMillis(), Long::sum);
    if (cpuMillis > TEAM_CPU_MILLIS * TEAM_OVERAGE + step.need().cpuMillis()) {
      breach("QUOTA", what + " brings " + submitted.job.team() + " to " + cpuMillis);
    }
  }

  @Override
  public void onEnd(SimulatedWorker worker, EndedTask end) {
    trace("end", worker, end.taskName(), end.run(), end.how() + " number=" + end.number());
    History history = history(end.taskName());
    leave(worker, end.taskName());
    if (end.how() == EndKind.DONE) {
      history.doneRuns.add(end.run());
    } else if (end.how() == EndKind.FAILED) {
      history.failedRuns.add(end.run());
    }
  }

  @Override
  public void onAcknowledged(SimulatedWorker worker, EndedTask end) {
    trace("acknowledged", worker, end.taskName(), end.run(), "number=" + end.number());
    History history = history(end.taskName());
    if (end.how() == EndKind.DONE) {
      history.isDoneAcknowledged = true;
      if (history.overtakenRuns.contains(end.run())) {
        breach(
            "TWICE", end.taskName() + " began again after run " + end.run() + ", whose end counts");
      }
    }
  }

  @Override
  public void onLost(SimulatedWorker worker, String task, long run) {
    trace("lost", worker, task, run, "");
    leave(worker, task);
  }

  private void leave(SimulatedWorker worker, String task) {
    boolean wasRunning = history(task).runningOn.remove(worker.id()) != null;
    if (wasRunning) {
      submitted(task)
          .ifPresent(
              submitted ->
                  teamCpuMillis.merge(
                      submitted.job.team(), -step(submitted, task).need().cpuMillis(), Long::sum));
    }
  }
}
