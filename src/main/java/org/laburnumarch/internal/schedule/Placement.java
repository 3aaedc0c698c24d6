package org.laburnumarch.internal.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;

/**
 * Chooses the worker for a task. Answers racks with data, workers that run slowly and spreading.
 */
final class Placement {

  /** Starts on the way to one worker at the same time; each may take a connection. */
  private static final int MAX_ORDERS_IN_FLIGHT = 4;

  private static final double AVOIDED_COST = 2;

  /**
   * Weight of the room that is left. Filling workers one after the other leaves others empty, whose
   * instances can then move at once; it stays below the difference that a slow worker makes.
   */
  private static final double FULLNESS_WEIGHT = 0.3;

  private final Collection<Worker> pool;
  private final Set<String> evacuated;
  private final double remotePenalty;
  private final long nowMs;

  /** Workers that nothing more may go to in this round, so that a large task gets its room. */
  private final Set<Worker> keptFree = new HashSet<>();

  Placement(Collection<Worker> pool, Set<String> evacuated, double remotePenalty, long nowMs) {
    this.pool = pool;
    this.evacuated = evacuated;
    this.remotePenalty = remotePenalty;
    this.nowMs = nowMs;
  }

  /** Returns the best worker for a task that has room for it now. */
  Optional<Worker> choose(Task task, Map<String, String> tickets, boolean needsTicket) {
    Worker best = null;
    double bestCost = Double.MAX_VALUE;
    for (Worker worker : pool) {
      if (keptFree.contains(worker)
          || worker.ordersInFlight >= MAX_ORDERS_IN_FLIGHT
          || !worker.free().holds(task.step.spec.reserved())
          || !mayRun(worker, task.step)
          || (needsTicket && !tickets.containsKey(worker.id))) {
        continue;
      }
      double cost = cost(worker, task);
      if (cost < bestCost) {
        best = worker;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns whether some worker could take a task now. */
  boolean hasRoom(Task task) {
    for (Worker worker : pool) {
      if (worker.free().holds(task.step.spec.reserved()) && mayRun(worker, task.step)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a worker may run tasks of a step at all, whatever room it has. */
  boolean mayRun(Worker worker, Step step) {
    StepSpec spec = step.spec;
    return worker.isListed
        && worker.isFenced
        && worker.isEnrolled
        && !worker.isCordoned
        && !worker.listing.isDraining()
        && worker.blockedUntilMs <= nowMs
        && worker.missedReports == 0
        && !evacuated.contains(worker.listing.dataCentre())
        && worker.listing.capacity().holds(spec.need())
        && (spec.requiredLabel().isEmpty()
            || worker.listing.labels().contains(spec.requiredLabel()))
        && (spec.maxPerWorker() == 0 || countOf(step, worker) < spec.maxPerWorker());
  }

  private static int countOf(Step step, Worker worker) {
    int count = 0;
    for (Attempt attempt : worker.attempts.values()) {
      if (attempt.task.step == step) {
        count++;
      }
    }
    return count;
  }

  private double cost(Worker worker, Task task) {
    StepSpec spec = task.step.spec;
    double cost = worker.health.slowness();
    if (!spec.dataRack().isEmpty() && !spec.dataRack().equals(worker.listing.rack())) {
      cost *= remotePenalty;
    }
    if (spec.isRackSensitive() && leavesRackOf(worker, task.step)) {
      cost *= remotePenalty;
    }
    if (worker.id.equals(task.avoidedWorker)) {
      cost += AVOIDED_COST;
    }
    return cost + FULLNESS_WEIGHT * (1 - usedShareAfter(worker, spec));
  }

  private static boolean leavesRackOf(Worker worker, Step step) {
    for (Task task : step.tasks) {
      if (task.attempt != null
          && !task.attempt.worker.listing.rack().equals(worker.listing.rack())) {
        return true;
      }
    }
    return false;
  }

  private static double usedShareAfter(Worker worker, StepSpec spec) {
    Resources capacity = worker.listing.capacity();
    Resources after = worker.reserved.plus(spec.reserved());
    double cpu = (double) after.cpuMillis() / Math.max(1, capacity.cpuMillis());
    double memory = (double) after.memoryMb() / Math.max(1, capacity.memoryMb());
    return Math.max(cpu, memory);
  }

  /** Keeps the worker that has most room from getting more, until the task fits there. */
  void keepFreeFor(Task task) {
    Worker widest = null;
    for (Worker worker : pool) {
      boolean isWider = widest == null || worker.free().memoryMb() > widest.free().memoryMb();
      if (isWider && !keptFree.contains(worker) && mayRun(worker, task.step)) {
        widest = worker;
      }
    }
    if (widest != null) {
      keptFree.add(widest);
    }
  }

  /**
   * Returns whether all tasks of a gang fit at once, by placing them on copies of the free room.
   *
   * @return the worker of each task, in order; empty if not all fit
   */
  Optional<Map<Task, Worker>> chooseAll(
      Collection<Task> tasks, Map<String, String> tickets, boolean needsTicket) {
    Map<Worker, Resources> free = new HashMap<>();
    Map<Worker, Integer> counts = new HashMap<>();
    Map<Task, Worker> chosen = new HashMap<>();
    for (Task task : tasks) {
      Worker best = null;
      double bestCost = Double.MAX_VALUE;
      for (Worker worker : pool) {
        Resources left = free.getOrDefault(worker, worker.free());
        int count = counts.getOrDefault(worker, 0);
        int limit = task.step.spec.maxPerWorker();
        if (keptFree.contains(worker)
            || !left.holds(task.step.spec.reserved())
            || !mayRun(worker, task.step)
            || (limit > 0 && countOf(task.step, worker) + count >= limit)
            || (needsTicket && !tickets.containsKey(worker.id))) {
          continue;
        }
        double cost = cost(worker, task) + spreadCost(worker, chosen, task.step.spec);
        if (cost < bestCost) {
          best = worker;
          bestCost = cost;
        }
      }
      if (best == null) {
        return Optional.empty();
      }
      free.merge(
          best,
          best.free().minus(task.step.spec.reserved()),
          (left, ignored) -> left.minus(task.step.spec.reserved()));
      counts.merge(best, 1, Integer::sum);
      chosen.put(task, best);
    }
    return Optional.of(chosen);
  }

  private double spreadCost(Worker worker, Map<Task, Worker> chosen, StepSpec spec) {
    boolean isOtherRack =
        spec.isRackSensitive()
            && chosen.values().stream()
                .anyMatch(other -> !other.listing.rack().equals(worker.listing.rack()));
    return isOtherRack ? remotePenalty : 0;
  }
}
