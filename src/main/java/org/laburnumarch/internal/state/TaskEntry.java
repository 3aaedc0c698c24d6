package org.laburnumarch.internal.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * A task that was accepted.
 *
 * @param attempt number of the last attempt; 0 before the first
 * @param worker worker of the last attempt; empty before the first
 * @param unitHolder id of the member whose allowance the current attempt uses; empty unless an
 *     attempt has started and not ended
 * @param isCancelRequested whether the task is cancelled once its current attempt has stopped
 * @param failedWorkers distinct workers on which it failed, without failures that were attributed
 *     to the worker
 * @param endedAtEpochMs log time of the final result; 0 before
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TaskEntry(
    TaskSpec spec,
    TaskPhase phase,
    int attempt,
    String worker,
    String unitHolder,
    boolean isCancelRequested,
    List<String> failedWorkers,
    long endedAtEpochMs) {

  public TaskEntry {
    failedWorkers = List.copyOf(failedWorkers);
  }

  /** Creates the entry of a newly accepted task. */
  static TaskEntry accepted(TaskSpec spec) {
    return new TaskEntry(spec, TaskPhase.WAITING, 0, "", "", false, List.of(), 0);
  }

  /** Returns the id of the task. */
  public String task() {
    return spec.task();
  }

  TaskEntry started(TaskStart start, String memberId) {
    return new TaskEntry(
        spec,
        TaskPhase.STARTED,
        start.attempt(),
        start.worker(),
        memberId,
        false,
        failedWorkers,
        0);
  }

  TaskEntry waiting() {
    return new TaskEntry(spec, TaskPhase.WAITING, attempt, worker, "", false, failedWorkers, 0);
  }

  TaskEntry ended(TaskPhase finalPhase, long atEpochMs) {
    return new TaskEntry(
        spec, finalPhase, attempt, worker, "", isCancelRequested, failedWorkers, atEpochMs);
  }

  TaskEntry cancelRequested() {
    return new TaskEntry(
        spec, phase, attempt, worker, unitHolder, true, failedWorkers, endedAtEpochMs);
  }

  TaskEntry withUnitHolder(String memberId) {
    return new TaskEntry(
        spec, phase, attempt, worker, memberId, isCancelRequested, failedWorkers, endedAtEpochMs);
  }

  TaskEntry withFailedWorkers(List<String> workers) {
    return new TaskEntry(
        spec, phase, attempt, worker, unitHolder, isCancelRequested, workers, endedAtEpochMs);
  }
}
