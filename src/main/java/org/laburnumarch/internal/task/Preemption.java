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

/** Selects preemptible tasks to be checkpointed, so that tasks of urgent teams start soon. */
final class Preemption {

  /**
   * If the selected tasks have not freed the capacity by then, the reservation of the worker ends.
   */
  private static final long RESERVATION_MS = 5_000;

  private final Map<String, Reservation> reservations = new HashMap<>();
  private final Set<AttemptId> victims = new HashSet<>();

  void expire(TaskIndex index, long nowMs) {
    reservations.values().removeIf(reservation -> nowMs >= reservation.untilMs);
    victims.removeIf(index::isEndedOrUnknown);
  }

  void removeReservation(String task) {
    reservations.values().removeIf(reservation -> reservation.task.equals(task));
  }

  boolean isReserved(String worker, String task, long nowMs) {
    Reservation reservation = reservations.get(worker);
    return reservation != null && nowMs < reservation.untilMs && !reservation.task.equals(task);
  }

  boolean isVictim(AttemptId id) {
    return victims.contains(id);
  }

  /**
   * Selects the worker on which the fewest tasks must be preempted, and reserves it for the task.
   * Does nothing if a worker is already reserved for the task.
   */
  void preemptFor(
      TaskIndex index, FreeCapacity freeCapacity, TeamOrder teamOrder, TaskEntry task, long nowMs) {
    if (reservations.values().stream()
        .anyMatch(reservation -> reservation.task.equals(task.task()))) {
      return;
    }
    freeCapacity.workers().stream()
        .filter(worker -> !freeCapacity.isProbe(worker) && !reservations.containsKey(worker))
        .filter(worker -> !task.failedWorkers().contains(worker))
        .map(worker -> plan(index, freeCapacity, teamOrder, task, worker))
        .flatMap(Optional::stream)
        .min(
            Comparator.comparingInt((Plan plan) -> plan.victims.size())
                .thenComparing(plan -> plan.worker))
        .ifPresent(
            plan -> {
              victims.addAll(plan.victims);
              reservations.put(plan.worker, new Reservation(task.task(), nowMs + RESERVATION_MS));
            });
  }

  private Optional<Plan> plan(
      TaskIndex index,
      FreeCapacity freeCapacity,
      TeamOrder teamOrder,
      TaskEntry task,
      String worker) {
    TaskSize needed = freeCapacity.sizeOn(worker, task.spec());
    TaskSize free = freeCapacity.of(worker);
    List<AttemptId> chosen = new ArrayList<>();
    List<TaskEntry> candidates =
        index.startedOn(worker).stream()
            .filter(
                t -> t.spec().taskClass().isPreemptible() && !teamOrder.isUrgent(t.spec().team()))
            .sorted(
                Comparator.comparingInt((TaskEntry t) -> -t.spec().size().memoryMb())
                    .thenComparing(TaskEntry::task))
            .toList();
    for (TaskEntry candidate : candidates) {
      if (needed.fitsInto(free)) {
        break;
      }
      free = free.plus(freeCapacity.sizeOn(worker, candidate.spec()));
      chosen.add(TaskIndex.attemptIdOf(candidate));
    }
    return needed.fitsInto(free) ? Optional.of(new Plan(worker, chosen)) : Optional.empty();
  }

  private record Reservation(String task, long untilMs) {}

  private record Plan(String worker, List<AttemptId> victims) {}
}
