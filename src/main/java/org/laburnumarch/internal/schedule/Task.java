package org.laburnumarch.internal.schedule;

import java.util.LinkedHashSet;
import java.util.Set;
import org.laburnumarch.internal.job.TaskKey;

/** One task of a step, with the state of its runs. */
final class Task {

  final TaskKey key;
  final Step step;

  /** The current run, whose result counts; null if there is none. */
  Attempt attempt;

  boolean isDone;

  /** Where a run of an earlier owner may be going on unreported. */
  EarlierRun earlierRun;

  /**
   * Latest local time at which a worker is known to have had a run of an earlier owner, or this
   * owner started one. No earlier owner had started a later run by then. -1 if none is known.
   */
  long knownRunAtMs = -1;

  /** Whether such a run keeps the task from being started now. */
  boolean isHeld;

  /** Numbers of the runs that ended as failed. */
  final Set<Long> failedRuns = new LinkedHashSet<>();

  /** Number of runs that were stopped because they progressed too slowly. */
  int stragglingRuns;

  /** Number of workers whose processes ended under the task. */
  int crashes;

  /** Whether the task may be the cause of a worker's crash. */
  boolean isSuspect;

  /**
   * Local time from which the task no longer waits for a worker without other new runs although it
   * is a suspect; set when it first has to wait for one.
   */
  long isolationDeadlineAtMs = Long.MAX_VALUE;

  /** Highest run number used so far. */
  long lastRun;

  /** Number of the run whose end was listed last; -1 if none was. */
  long lastEndedRun = -1;

  /** Worker that listed that end. */
  String lastEndedWorkerId = "";

  String checkpoint = "";

  /** Worker on which the last run failed or was refused; avoided while others have capacity. */
  String avoidedWorker = "";

  /** Latest local time at which a run that is over was known to go on; 0 if none was. */
  long lastSeenRunningAtMs;

  /** Local time before which no new run is started, after a refusal. */
  long notBeforeMs;

  Task(TaskKey key, Step step) {
    this.key = key;
    this.step = step;
    this.earlierRun = step.job.initialEarlierRun();
  }

  /**
   * Returns whether the next run must start on a worker without other new runs. Gangs need several
   * workers at once, so these share workers all the same. So does a suspect that has waited for
   * long: a crash of many workers leaves more suspects than can start one by one in time.
   */
  boolean needsIsolation(long nowMs) {
    return isKeptApart() && nowMs < isolationDeadlineAtMs;
  }

  private boolean isKeptApart() {
    return isSuspect && !step.spec.isGang();
  }

  /** Records that a suspect finds no worker where it would be alone. */
  void limitIsolationWait(long nowMs) {
    if (isStartable(nowMs) && needsIsolation(nowMs)) {
      isolationDeadlineAtMs =
          Math.min(isolationDeadlineAtMs, nowMs + CrashTracker.MAX_ISOLATION_WAIT_MS);
    }
  }

  /** Returns whether the next run must start on a worker without another new suspect. */
  boolean needsSeparation(long nowMs) {
    return isKeptApart() && nowMs - CrashTracker.MAX_SEPARATION_WAIT_MS < isolationDeadlineAtMs;
  }

  /**
   * Returns whether a suspect has waited for so long that it starts anywhere, even beside another
   * suspect's isolated run. Otherwise newer suspects could keep it waiting without a bound.
   */
  boolean hasWaitedForSeparation(long nowMs) {
    return isKeptApart() && !needsSeparation(nowMs);
  }

  /** Records when a run that is over was last known to go on. */
  void onSeenRunning(long atMs) {
    lastSeenRunningAtMs = Math.max(lastSeenRunningAtMs, atMs);
    step.job.lastSeenRunningAtMs = Math.max(step.job.lastSeenRunningAtMs, atMs);
  }

  /** Returns whether the task's own state allows a new run, regardless of workers and limits. */
  boolean isStartable(long nowMs) {
    return !isDone && !isHeld && attempt == null && notBeforeMs <= nowMs;
  }
}
