package org.laburnumarch.internal.task;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.laburnumarch.internal.state.TaskClass;
import org.laburnumarch.internal.state.TaskEntry;
import org.laburnumarch.internal.state.WorkerEntry;
import org.laburnumarch.spi.AttemptId;
import org.laburnumarch.spi.WorkerReport;

/**
 * Selects attempts to stop, checkpoint or throttle, in the order of their class, before a worker
 * runs out of memory.
 */
final class MemoryPressureRelief {

  /**
   * Fraction of a worker's memory above which attempts are selected. The distance to 1 allows for
   * reported usage that lags.
   */
  private static final double HIGH_FRACTION = 0.90;

  /** Attempts are selected until the remaining ones use no more than this fraction. */
  private static final double LOW_FRACTION = 0.80;

  private MemoryPressureRelief() {}

  /** Returns the selected attempts with the class of their task, which determines the action. */
  static Map<AttemptId, TaskClass> find(
      WorkerEntry worker, WorkerReport report, List<TaskEntry> started) {
    Map<AttemptId, Integer> usedMb = new HashMap<>();
    report.running().forEach(running -> usedMb.put(running.id(), running.usedMemoryMb()));
    long sumMb = usedMb.values().stream().mapToLong(Integer::longValue).sum();
    Map<AttemptId, TaskClass> reliefClassByAttempt = new HashMap<>();
    if (sumMb <= HIGH_FRACTION * worker.capacity().memoryMb()) {
      return reliefClassByAttempt;
    }
    List<TaskEntry> byClass =
        started.stream()
            .filter(task -> usedMb.containsKey(TaskIndex.attemptIdOf(task)))
            .sorted(
                Comparator.comparingInt((TaskEntry t) -> t.spec().taskClass().memoryReliefOrder())
                    .thenComparing(t -> -usedMb.get(TaskIndex.attemptIdOf(t)))
                    .thenComparing(TaskEntry::task))
            .toList();
    for (TaskEntry task : byClass) {
      if (sumMb <= LOW_FRACTION * worker.capacity().memoryMb()) {
        break;
      }
      reliefClassByAttempt.put(TaskIndex.attemptIdOf(task), task.spec().taskClass());
      sumMb -=
          task.spec().taskClass().isPreemptible() ? usedMb.get(TaskIndex.attemptIdOf(task)) : 0;
    }
    return reliefClassByAttempt;
  }
}
