package org.laburnumarch.internal.task;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.state.Rendezvous;
import org.laburnumarch.internal.state.TaskEntry;
import org.laburnumarch.internal.state.TaskStart;
import org.laburnumarch.spi.AttemptId;

/** Chooses workers for waiting tasks. */
final class Placement {

  /** Maximum number of starts in a record, which keeps it well below the size limit of the log. */
  static final int MAX_STARTS = 200;

  private final String selfId;
  private final TaskTimes times;
  private final UnitTracker units;
  private final Preemption preemption;
  private final Map<String, Long> waitingSinceMs = new HashMap<>();

  Placement(String selfId, TaskTimes times, UnitTracker units, Preemption preemption) {
    this.selfId = selfId;
    this.times = times;
    this.units = units;
    this.preemption = preemption;
  }

  /** Records since when each task has been waiting. Must be called on each tick. */
  void updateWaitingTimes(TaskIndex index, long nowMs) {
    Map<String, Long> before = new HashMap<>(waitingSinceMs);
    waitingSinceMs.clear();
    for (TaskEntry task : index.waiting) {
      waitingSinceMs.put(task.task(), before.getOrDefault(task.task(), nowMs));
    }
  }

  List<TaskStart> planStarts(
      TaskIndex index, FreeCapacity freeCapacity, TeamOrder teamOrder, long nowMs) {
    Map<String, ArrayDeque<TaskEntry>> queues = queues(index, nowMs);
    List<TaskStart> starts = new ArrayList<>();
    while (!queues.isEmpty() && starts.size() < MAX_STARTS) {
      String team = queues.keySet().stream().min(teamOrder.comparator()).orElseThrow();
      ArrayDeque<TaskEntry> queue = queues.get(team);
      TaskEntry task = queue.poll();
      Optional<String> worker = chooseWorker(task, freeCapacity, nowMs);
      if (worker.isEmpty()) {
        if (teamOrder.hasPriority(team)) {
          preemption.preemptFor(index, freeCapacity, teamOrder, task, nowMs);
        }
      } else if (units.tryAcquire(nextAttemptId(task), task.spec())) {
        freeCapacity.reserve(worker.get(), task.spec());
        teamOrder.addUsage(task);
        preemption.removeReservation(task.task());
        starts.add(new TaskStart(task.task(), task.attempt() + 1, worker.get()));
      } else {
        queue.clear();
      }
      if (queue.isEmpty()) {
        queues.remove(team);
      }
    }
    return starts;
  }

  static AttemptId nextAttemptId(TaskEntry task) {
    return new AttemptId(task.task(), task.attempt() + 1);
  }

  /**
   * Returns the tasks that this daemon may place, by team, longest waiting first.
   *
   * <p>The owner of a task may place it at once. If the owner has no free capacity on its workers,
   * the members next in rank may place the task on theirs, each after a further delay. A race
   * between two members is harmless, since the second start is refused.
   */
  private Map<String, ArrayDeque<TaskEntry>> queues(TaskIndex index, long nowMs) {
    Map<String, ArrayDeque<TaskEntry>> queues = new HashMap<>();
    index.waiting.stream()
        .filter(task -> isTurn(index, task, nowMs))
        .sorted(
            Comparator.comparingLong((TaskEntry task) -> waitingSinceMs.get(task.task()))
                .thenComparing(TaskEntry::task))
        .forEach(
            task ->
                queues.computeIfAbsent(task.spec().team(), team -> new ArrayDeque<>()).add(task));
    return queues;
  }

  private boolean isTurn(TaskIndex index, TaskEntry task, long nowMs) {
    int rank = Rendezvous.ranked(index.state(), task.task()).indexOf(selfId);
    return rank >= 0 && nowMs >= waitingSinceMs.get(task.task()) + rank * times.stealDelayMs();
  }

  /**
   * Returns the worker with the least free accelerators and memory that the task fits into (best
   * fit), to leave large free blocks for large tasks. Workers due for a probe come first.
   */
  private Optional<String> chooseWorker(TaskEntry task, FreeCapacity freeCapacity, long nowMs) {
    return freeCapacity.workers().stream()
        .filter(worker -> !task.failedWorkers().contains(worker))
        .filter(worker -> !preemption.isReserved(worker, task.task(), nowMs))
        .filter(
            worker -> freeCapacity.sizeOn(worker, task.spec()).fitsInto(freeCapacity.of(worker)))
        .min(
            Comparator.comparing(freeCapacity::isProbe)
                .reversed()
                .thenComparing(worker -> freeCapacity.of(worker).accelerators())
                .thenComparing(worker -> freeCapacity.of(worker).memoryMb())
                .thenComparing(Comparator.naturalOrder()));
  }
}
