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

/** Chooses workers for tasks that wait. */
final class Placement {

  /** Bounds a batch, so that its record stays well below the limit of the log. */
  static final int MAX_STARTS = 200;

  private final String selfId;
  private final TaskTimes times;
  private final UnitBook units;
  private final Preemption preemption;
  private final Map<String, Long> waitingSinceMs = new HashMap<>();

  Placement(String selfId, TaskTimes times, UnitBook units, Preemption preemption) {
    this.selfId = selfId;
    this.times = times;
    this.units = units;
    this.preemption = preemption;
  }

  /** Notes since when tasks wait; to be called each tick. */
  void observe(TaskIndex index, long nowMs) {
    Map<String, Long> before = new HashMap<>(waitingSinceMs);
    waitingSinceMs.clear();
    for (TaskEntry task : index.waiting) {
      waitingSinceMs.put(task.task(), before.getOrDefault(task.task(), nowMs));
    }
  }

  List<TaskStart> starts(TaskIndex index, Rooms rooms, TeamOrder order, long nowMs) {
    Map<String, ArrayDeque<TaskEntry>> queues = queues(index, nowMs);
    List<TaskStart> starts = new ArrayList<>();
    while (!queues.isEmpty() && starts.size() < MAX_STARTS) {
      String team = queues.keySet().stream().min(order.comparator()).orElseThrow();
      ArrayDeque<TaskEntry> queue = queues.get(team);
      TaskEntry task = queue.poll();
      Optional<String> worker = choose(task, rooms, nowMs);
      if (worker.isEmpty()) {
        if (order.goesFirst(team)) {
          preemption.makeRoom(index, rooms, order, task, nowMs);
        }
      } else if (units.tryAcquire(nextId(task), task.spec())) {
        rooms.take(worker.get(), task.spec());
        order.count(task);
        preemption.served(task.task());
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

  static AttemptId nextId(TaskEntry task) {
    return new AttemptId(task.task(), task.attempt() + 1);
  }

  /**
   * Returns the tasks that this daemon may place, by team, in the order of their wait.
   *
   * <p>The owner of a task goes first; if it has no room on its workers, the next in rank may place
   * the task on theirs. Two that race do no harm, since the second start is refused.
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
    return rank >= 0 && nowMs >= waitingSinceMs.get(task.task()) + rank * times.stealStepMs();
  }

  /** Returns the worker with the least memory that the task fits into, to keep large gaps whole. */
  private Optional<String> choose(TaskEntry task, Rooms rooms, long nowMs) {
    return rooms.workers().stream()
        .filter(worker -> !task.failedWorkers().contains(worker))
        .filter(worker -> !preemption.isReserved(worker, task.task(), nowMs))
        .filter(worker -> rooms.sizeOn(worker, task.spec()).fitsInto(rooms.free(worker)))
        .min(
            Comparator.comparing(rooms::isProbe)
                .reversed()
                .thenComparing(worker -> rooms.free(worker).accelerators())
                .thenComparing(worker -> rooms.free(worker).memoryMb())
                .thenComparing(Comparator.naturalOrder()));
  }
}
