package org.laburnumarch.internal.task;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.laburnumarch.internal.state.TaskEntry;
import org.laburnumarch.internal.state.TaskSize;
import org.laburnumarch.spi.AttemptId;

/** Checkpoints work that can wait, so that urgent work starts soon. */
final class Preemption {

  /** A worker whose tasks do not make room by then is free for others again. */
  private static final long RESERVED_MS = 5_000;

  private final Map<String, Reservation> reservations = new HashMap<>();
  private final Set<AttemptId> victims = new HashSet<>();

  void expire(TaskIndex index, long nowMs) {
    reservations.values().removeIf(reserved -> nowMs >= reserved.untilMs);
    victims.removeIf(index::isOver);
  }

  void served(String task) {
    reservations.values().removeIf(reserved -> reserved.task.equals(task));
  }

  boolean isReserved(String worker, String task, long nowMs) {
    Reservation reserved = reservations.get(worker);
    return reserved != null && nowMs < reserved.untilMs && !reserved.task.equals(task);
  }

  boolean isVictim(AttemptId id) {
    return victims.contains(id);
  }

  /** Chooses the worker where the fewest tasks have to give way, and reserves it. */
  void makeRoom(TaskIndex index, Rooms rooms, TeamOrder order, TaskEntry task, long nowMs) {
    if (reservations.values().stream().anyMatch(r -> r.task.equals(task.task()))) {
      return;
    }
    rooms.workers().stream()
        .filter(worker -> !rooms.isProbe(worker) && !reservations.containsKey(worker))
        .filter(worker -> !task.failedWorkers().contains(worker))
        .map(worker -> plan(index, rooms, order, task, worker))
        .flatMap(Optional::stream)
        .min(
            Comparator.comparingInt((Plan plan) -> plan.victims.size())
                .thenComparing(plan -> plan.worker))
        .ifPresent(
            plan -> {
              victims.addAll(plan.victims);
              reservations.put(plan.worker, new Reservation(task.task(), nowMs + RESERVED_MS));
            });
  }

  private Optional<Plan> plan(
      TaskIndex index, Rooms rooms, TeamOrder order, TaskEntry task, String worker) {
    TaskSize needed = rooms.sizeOn(worker, task.spec());
    TaskSize free = rooms.free(worker);
    List<AttemptId> chosen = new ArrayList<>();
    List<TaskEntry> candidates =
        index.startedOn(worker).stream()
            .filter(t -> t.spec().taskClass().canWait() && !order.isUrgent(t.spec().team()))
            .sorted(
                Comparator.comparingInt((TaskEntry t) -> -t.spec().size().memoryMb())
                    .thenComparing(TaskEntry::task))
            .toList();
    for (TaskEntry candidate : candidates) {
      if (needed.fitsInto(free)) {
        break;
      }
      free = free.plus(rooms.sizeOn(worker, candidate.spec()));
      chosen.add(TaskIndex.idOf(candidate));
    }
    return needed.fitsInto(free) ? Optional.of(new Plan(worker, chosen)) : Optional.empty();
  }

  private record Reservation(String task, long untilMs) {}

  private record Plan(String worker, List<AttemptId> victims) {}
}
