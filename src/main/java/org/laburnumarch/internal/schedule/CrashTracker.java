package org.laburnumarch.internal.schedule;

import java.util.Collection;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.StepSpec;

/**
 * Counts how often the processes of workers ended under each task, and gives up a task that crashes
 * the workers which start it.
 *
 * <p>Most tasks that were on a crashed worker are innocent. One that had just been started may be
 * the cause, and so may one that was there in several crashes. Such a suspect is next started on a
 * worker where no other run is new and where nothing else starts until it has proved harmless.
 */
final class CrashTracker {

  /** Crashes right after a start, the last with no other new run there, that prove the cause. */
  private static final int CRASHES_FOR_PROOF = 2;

  /** Longest time that a suspect waits for a worker without other new runs. */
  static final long MAX_ISOLATION_WAIT_MS = 1_500;

  /** Crashes after which a task is given up in any case. */
  private static final int MAX_CRASHES = 3;

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
  void onCrash(Worker worker, Collection<Attempt> runs) {
    if (worker.listing.isDraining()) {
      return;
    }
    boolean isOnlyNewRun = worker.newRunCount() == 1;
    for (Attempt run : runs) {
      // A start without a reply yet may have been refused by the ended process.
      if (run.phase != Attempt.Phase.ORDERED && run.task.attempt == run) {
        count(run, isOnlyNewRun);
      }
    }
  }

  private void count(Attempt attempt, boolean isOnlyNewRun) {
    Task task = attempt.task;
    Job job = task.step.job;
    StepSpec spec = task.step.spec;
    boolean isNew = !attempt.hasSurvivedStart;
    if (job.status.isFinal() || task.isDone || (spec.isLongRunning() && !isNew)) {
      return;
    }
    task.crashes++;
    task.isSuspect |= isNew || task.crashes >= CRASHES_FOR_PROOF;
    task.isolationDeadlineAtMs = Long.MAX_VALUE;
    boolean isProved = isNew && isOnlyNewRun && task.crashes >= CRASHES_FOR_PROOF;
    if (isProved || task.crashes >= MAX_CRASHES) {
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
