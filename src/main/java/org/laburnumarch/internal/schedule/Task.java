package org.laburnumarch.internal.schedule;

import java.util.LinkedHashSet;
import java.util.Set;
import org.laburnumarch.internal.job.TaskKey;

/** One task of a step. */
final class Task {

  final TaskKey key;
  final Step step;

  /** The run whose result counts; null while none is ordered. */
  Attempt attempt;

  boolean isDone;

  /** Numbers of the runs that ended as failed. */
  final Set<Long> failedRuns = new LinkedHashSet<>();

  /** Highest run number used so far. */
  long lastRun;

  String checkpoint = "";

  /** Worker on which the last run ended badly; avoided while others have room. */
  String avoidedWorker = "";

  /** Local time before which no new run is ordered, after a refusal. */
  long notBeforeMs;

  Task(TaskKey key, Step step) {
    this.key = key;
    this.step = step;
  }

  /** Returns whether a run may be ordered as far as the task itself is concerned. */
  boolean isStartable(long nowMs) {
    return !isDone && attempt == null && notBeforeMs <= nowMs;
  }
}
