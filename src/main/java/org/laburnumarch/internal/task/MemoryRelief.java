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

/** Lets tasks give way, in the order of their class, before a worker runs out of memory. */
final class MemoryRelief {

  /** Above this part of its memory a worker is relieved; usage lags, so it leaves some room. */
  private static final double HIGH_FRACTION = 0.90;

  /** Tasks give way until the rest is below this part. */
  private static final double LOW_FRACTION = 0.80;

  private MemoryRelief() {}

  /** Returns the attempts that give way, with the class that says how. */
  static Map<AttemptId, TaskClass> find(
      WorkerEntry worker, WorkerReport report, List<TaskEntry> started) {
    Map<AttemptId, Integer> usedMb = new HashMap<>();
    report.running().forEach(running -> usedMb.put(running.id(), running.usedMemoryMb()));
    long sumMb = usedMb.values().stream().mapToLong(Integer::longValue).sum();
    Map<AttemptId, TaskClass> relieved = new HashMap<>();
    if (sumMb <= HIGH_FRACTION * worker.capacity().memoryMb()) {
      return relieved;
    }
    List<TaskEntry> byClass =
        started.stream()
            .filter(task -> usedMb.containsKey(TaskIndex.idOf(task)))
            .sorted(
                Comparator.comparingInt((TaskEntry t) -> t.spec().taskClass().reliefOrder())
                    .thenComparing(t -> -usedMb.get(TaskIndex.idOf(t)))
                    .thenComparing(TaskEntry::task))
            .toList();
    for (TaskEntry task : byClass) {
      if (sumMb <= LOW_FRACTION * worker.capacity().memoryMb()) {
        break;
      }
      relieved.put(TaskIndex.idOf(task), task.spec().taskClass());
      sumMb -= task.spec().taskClass().canWait() ? usedMb.get(TaskIndex.idOf(task)) : 0;
    }
    return relieved;
  }
}
