package org.laburnumarch.internal.schedule;

import java.util.Collection;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.StepSpec;

/**
 * Counts how often the processes of workers ended under each task, and gives up a task that crashes
 * the workers which start it. A long-running task is started again however often that happens.
 *
 * <p>Most tasks that were on a crashed worker are innocent. One that had just been started may be
 * the cause, and so may one that was there in several crashes. Such a suspect is next started on a
 * worker where no other run is new and where nothing else starts until it has proved harmless.
 */
final class CrashTracker {

  /** Crashes right after a start, the last with no other new run there, that prove the cause. */
  private static final int CRASHES_FOR_PROOF = 2;

  /** Longest time that a suspect waits for a worker without other new runs. */
  static final long MAX_ISOLATION_WAIT_MS = 1_000;

  /**
   * Time after that for which a suspect still waits for a worker without another new suspect, so
   * that suspects are not blamed together again.
   */
  static final long MAX_SEPARATION_WAIT_MS = 1_000;

  /**
   * Age of a run at the loss of its worker up to which it may have caused the crash by being
   * started.
   */
  private static final long NEW_RUN_MS = RunTracker.START_SURVIVAL_MS;

  /** Crashes after which a task is given up if it may have caused the last one. */
  private static final int MAX_CRASHES = 3;

  /** Crashes after which a task is given up although a newer run may have caused the last one. */
  private static final int MAX_CRASHES_BESIDE_NEW_RUNS = 4;

  private final RunTracker runTracker;
  private final PendingChanges changes;

  CrashTracker(RunTracker runTracker, PendingChanges changes) {
    this.runTracker = runTracker;
    this.changes = changes;
  }

  /**
   * Records that a worker's process has crashed under some of its runs, which must still be
   * registered. A worker that has announced its shutdown does not crash.
   */
  void onCrash(Worker worker, Collection<Attempt> runs, long nowMs) {
    if (worker.listing.isDraining()) {
      return;
    }
    long lostAtMs = worker.missedReports > 0 ? worker.lostAtMs : nowMs;
    long newRuns = worker.attempts.values().stream().filter(run -> isNew(run, lostAtMs)).count();
    for (Attempt run : runs) {
      // A start without a reply yet may have been refused by the ended process.
      if (run.phase != Attempt.Phase.ORDERED && !run.isEndUnlisted && run.task.attempt == run) {
        count(run, isNew(run, lostAtMs), newRuns);
      }
    }
  }

  private static boolean isNew(Attempt run, long lostAtMs) {
    return !run.hasSurvivedStart && lostAtMs - run.orderedAtMs < NEW_RUN_MS;
  }

  private void count(Attempt attempt, boolean isNew, long newRuns) {
    Task task = attempt.task;
    Job job = task.step.job;
    StepSpec spec = task.step.spec;
    if (job.status.isFinal() || task.isDone || (spec.isLongRunning() && !isNew)) {
      return;
    }
    task.crashes++;
    task.isSuspect |= isNew || task.crashes >= CRASHES_FOR_PROOF;
    task.isolationDeadlineAtMs = Long.MAX_VALUE;
    boolean isProved = isNew && newRuns == 1 && task.crashes >= CRASHES_FOR_PROOF;
    boolean mayBeCause = isNew || newRuns == 0;
    int maxCrashes = mayBeCause ? MAX_CRASHES : MAX_CRASHES_BESIDE_NEW_RUNS;
    if ((isProved || task.crashes >= maxCrashes) && !spec.isLongRunning()) {
      runTracker.finish(job, JobStatus.FAILED);
    }
    changes.add(job);
  }

  /** Records that a worker still reports a run a while after its start. */
  void onStartSurvived(Attempt attempt) {
    Task task = attempt.task;
    if (task.step.spec.isLongRunning()) {
      task.crashes = 0;
    }
    if (task.crashes < CRASHES_FOR_PROOF) {
      task.isSuspect = false;
      attempt.worker.endIsolation(attempt);
    }
  }
}
