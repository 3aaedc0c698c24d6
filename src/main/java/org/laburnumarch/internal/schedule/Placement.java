package org.laburnumarch.internal.schedule;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;

/**
 * Chooses the worker for a task. Prefers workers near the task's data, fast workers, workers that
 * are already well filled, and, for a rack-sensitive step, workers on one rack.
 */
final class Placement {

  private static final double AVOIDED_WORKER_COST = 2;

  /** Fraction of the capacity in use below which a pool counts as mostly idle. */
  private static final double IDLE_FRACTION = 0.5;

  /** Cost of each run that a task which may crash its worker would end with it. */
  private static final double ENDANGERED_RUN_COST = 0.5;

  /**
   * One isolated run is allowed, and another one for each this many workers of the pool. Restarts
   * of workers leave many innocent suspects, which must not queue behind each other for long. The
   * limit includes workers that are held back for a suspect, so that the others serve other tasks.
   * Workers that accept no tasks do not count: after crashes a pool has many that are gone.
   */
  private static final int POOL_SIZE_PER_ISOLATED_RUN = 2;

  /**
   * Weight of the fraction of a worker that would stay free. Filling one worker after the other
   * leaves others empty, whose instances can then move at once. The weight is so small that a slow
   * worker still costs more than an empty one.
   */
  private static final double FREE_CAPACITY_WEIGHT = 0.3;

  private final Collection<Worker> pool;
  private final Set<String> outOfServiceDataCentres;
  private final double remoteSlowdownFactor;
  private final long nowMs;
  private final boolean hasBlockedWorker;
  private final boolean isMostlyIdle;

  /** The workers that may start a task of a size now. */
  private final NarrowingChoice withRoom;

  /** The workers on which a task of a size will fit once short tasks have ended. */
  private final NarrowingChoice holdable;

  /**
   * Workers that get no further tasks in this round, so that a large task will fit there, and that
   * task.
   */
  private final Map<Worker, Task> heldWorkers = new LinkedHashMap<>();

  /** Workers that get no further tasks in this round, so that a suspect can start there alone. */
  private final Set<Worker> heldForSuspects = new HashSet<>();

  Placement(
      Collection<Worker> pool,
      Set<String> outOfServiceDataCentres,
      double remoteSlowdownFactor,
      long nowMs) {
    this.pool = pool;
    this.outOfServiceDataCentres = outOfServiceDataCentres;
    this.remoteSlowdownFactor = remoteSlowdownFactor;
    this.nowMs = nowMs;
    this.hasBlockedWorker = pool.stream().anyMatch(worker -> worker.health.isBlocked(nowMs));
    this.isMostlyIdle = hasBlockedWorker && isMostlyIdle();
    this.withRoom = new NarrowingChoice(pool, this::hasRoom);
    this.holdable = new NarrowingChoice(pool, this::isHoldable);
  }

  /**
   * Returns whether less than half of the workers that are not blocked is in use, if any is not.
   */
  private boolean isMostlyIdle() {
    Resources capacity = Resources.NONE;
    Resources reserved = Resources.NONE;
    boolean areAllBlocked =
        pool.stream().allMatch(worker -> worker.health.isBlocked(nowMs) || !worker.acceptsTasks());
    for (Worker worker : pool) {
      if (worker.acceptsTasks() && (areAllBlocked || !worker.health.isBlocked(nowMs))) {
        capacity = capacity.plus(worker.listing.capacity());
        reserved = reserved.plus(worker.reserved);
      }
    }
    return DemandEstimator.fractionOfWorker(reserved, capacity) < IDLE_FRACTION;
  }

  /**
   * Returns whether any worker may start a task of a step now. If none does, only a suspect that
   * need not be kept apart any more may find one.
   */
  boolean hasRoomFor(Step step, Map<String, String> tickets, boolean needsTicket) {
    return withRoom
        .findAny(step.size, worker -> mayAdd(worker, step) && admits(worker, tickets, needsTicket))
        .isPresent();
  }

  private boolean hasRoom(Worker worker, TaskSize size) {
    return !heldWorkers.containsKey(worker)
        && worker.ordersInFlight < worker.maxOrdersInFlight
        && !isIsolated(worker)
        && (!worker.health.isBlocked(nowMs) || isProbeDue(worker))
        && worker.freeCapacity().holds(size.reserved())
        && accepts(worker, size);
  }

  /** Returns the best worker that has the capacity for a task now; empty if there is none. */
  Optional<Worker> choose(Task task, Map<String, String> tickets, boolean needsTicket) {
    if (task.needsIsolation(nowMs) && !mayIsolateAnother()) {
      return Optional.empty();
    }
    Optional<Worker> best = choose(task, tickets, needsTicket, false, false);
    if (best.isEmpty() && task.hasWaitedForSeparation(nowMs)) {
      best = choose(task, tickets, needsTicket, true, false);
    }
    return best.isEmpty() && hasBlockedWorker
        ? choose(task, tickets, needsTicket, false, true)
        : best;
  }

  private Optional<Worker> choose(
      Task task,
      Map<String, String> tickets,
      boolean needsTicket,
      boolean mayEndIsolation,
      boolean mayProbe) {
    boolean needsIsolation = task.needsIsolation(nowMs);
    boolean needsSeparation = task.needsSeparation(nowMs);
    Worker best = null;
    double bestCost = Double.MAX_VALUE;
    for (Worker worker : pool) {
      if (heldWorkers.containsKey(worker)
          || worker.ordersInFlight >= worker.maxOrdersInFlight
          || (needsIsolation && worker.newRunCount() > 0)
          || (needsSeparation && worker.hasNewSuspect())
          || (isIsolated(worker) && !mayEndIsolation)
          || (worker.health.isBlocked(nowMs) && !(mayProbe && isProbeDue(worker)))
          || !worker.freeCapacity().holds(task.step.spec.reserved())
          || !isEligible(worker, task.step)
          || !admits(worker, tickets, needsTicket)) {
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

  /**
   * Returns whether a blocked worker may be given one more task: one at a time, unless the pool is
   * mostly idle, where other tasks would wait although it has the capacity for all of them.
   */
  private boolean isProbeDue(Worker worker) {
    return worker.health.mayBeProbed(nowMs) && (isMostlyIdle || worker.newRunCount() == 0);
  }

  /**
   * Returns whether one more worker of the pool may be given to a single task. Several suspects may
   * wait, and each may crash its worker.
   */
  boolean mayIsolateAnother() {
    int accepting = 0;
    int isolated = heldForSuspects.size();
    for (Worker worker : pool) {
      if (worker.acceptsTasks()) {
        accepting++;
        isolated += worker.hasIsolatedRun() ? 1 : 0;
      }
    }
    return isolated <= accepting / POOL_SIZE_PER_ISOLATED_RUN;
  }

  /** Holds a worker back until it has no new runs, so that a suspect can start there. */
  void holdWorkerForSuspect(Task task, Map<String, String> tickets, boolean needsTicket) {
    findLargestWorkerFor(task, worker -> admits(worker, tickets, needsTicket))
        .ifPresent(heldForSuspects::add);
  }

  /** Returns whether any worker could start a task now. */
  boolean hasCapacityFor(Task task) {
    for (Worker worker : pool) {
      if (worker.freeCapacity().holds(task.step.spec.reserved())
          && !worker.health.isBlocked(nowMs)
          && mayRun(worker, task.step)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a worker may run tasks of a step, regardless of its free capacity. */
  boolean mayRun(Worker worker, Step step) {
    return !worker.hasIsolatedRun() && isEligible(worker, step);
  }

  private boolean isIsolated(Worker worker) {
    return worker.hasIsolatedRun() || heldForSuspects.contains(worker);
  }

  /** Returns whether a worker accepts another task of a step, regardless of its free capacity. */
  boolean isEligible(Worker worker, Step step) {
    return accepts(worker, step) && mayAdd(worker, step);
  }

  /** Returns whether a worker accepts tasks of a step, regardless of what it runs. */
  boolean accepts(Worker worker, Step step) {
    return accepts(worker, step.size);
  }

  private boolean accepts(Worker worker, TaskSize size) {
    return worker.acceptsTasks()
        && worker.blockedUntilMs <= nowMs
        && !outOfServiceDataCentres.contains(worker.listing.dataCentre())
        && worker.listing.capacity().holds(size.need())
        && (size.requiredLabel().isEmpty()
            || worker.listing.labels().contains(size.requiredLabel()));
  }

  /** Returns whether the limit of a step for each worker allows one more of its tasks there. */
  boolean mayAdd(Worker worker, Step step) {
    int limit = step.spec.maxPerWorker();
    return limit == 0 || worker.countRuns(step) < limit;
  }

  private double cost(Worker worker, Task task) {
    StepSpec spec = task.step.spec;
    double cost = worker.health.slowness();
    if (!spec.dataRack().isEmpty() && !spec.dataRack().equals(worker.listing.rack())) {
      cost *= remoteSlowdownFactor;
    }
    if (spec.isRackSensitive() && wouldSpanRacks(worker, task.step)) {
      cost *= remoteSlowdownFactor;
    }
    if (task.isSuspect) {
      cost += ENDANGERED_RUN_COST * worker.attempts.size();
    }
    if (worker.id.equals(task.avoidedWorker)) {
      cost += AVOIDED_WORKER_COST;
    }
    return cost + FREE_CAPACITY_WEIGHT * (1 - reservedFractionAfter(worker, spec));
  }

  private static boolean wouldSpanRacks(Worker worker, Step step) {
    for (Task task : step.tasks) {
      if (task.attempt != null
          && !task.attempt.worker.listing.rack().equals(worker.listing.rack())) {
        return true;
      }
    }
    return false;
  }

  private static double reservedFractionAfter(Worker worker, StepSpec spec) {
    Resources capacity = worker.listing.capacity();
    Resources after = worker.reserved.plus(spec.reserved());
    double cpu = (double) after.cpuMillis() / Math.max(1, capacity.cpuMillis());
    double memory = (double) after.memoryMb() / Math.max(1, capacity.memoryMb());
    return Math.max(cpu, memory);
  }

  /**
   * Holds back the eligible worker with the most free memory: it gets no further tasks in this
   * round, so that the task fits there in a later round. A worker where long-running tasks leave
   * too little for it is not held back, because they do not end, nor is one for which the task has
   * no ticket.
   */
  void holdWorkerFor(Task task, Map<String, String> tickets, boolean needsTicket) {
    Step step = task.step;
    Predicate<Worker> isAdmitted = worker -> admits(worker, tickets, needsTicket);
    if (holdable
        .findAny(step.size, worker -> mayAdd(worker, step) && isAdmitted.test(worker))
        .isPresent()) {
      findLargestWorkerFor(
              task,
              worker ->
                  isAdmitted.test(worker)
                      && worker.capacityBesideLongRunningTasks().holds(step.spec.reserved()))
          .ifPresent(worker -> heldWorkers.put(worker, task));
    }
  }

  /** Returns whether a step has the ticket that it needs for a worker. */
  private static boolean admits(Worker worker, Map<String, String> tickets, boolean needsTicket) {
    return !needsTicket || tickets.containsKey(worker.id);
  }

  private boolean isHoldable(Worker worker, TaskSize size) {
    return !heldWorkers.containsKey(worker)
        && !isIsolated(worker)
        && !worker.health.isBlocked(nowMs)
        && accepts(worker, size)
        && worker.capacityBesideLongRunningTasks().holds(size.reserved());
  }

  /** Returns the workers that are held back for tasks which fit nowhere yet, with these tasks. */
  Map<Worker, Task> heldWorkers() {
    return Collections.unmodifiableMap(heldWorkers);
  }

  private Optional<Worker> findLargestWorkerFor(Task task, Predicate<Worker> isSuitable) {
    Worker largest = null;
    for (Worker worker : pool) {
      boolean isLarger =
          largest == null || worker.freeCapacity().memoryMb() > largest.freeCapacity().memoryMb();
      if (isLarger
          && !heldWorkers.containsKey(worker)
          && !heldForSuspects.contains(worker)
          && !worker.health.isBlocked(nowMs)
          && mayRun(worker, task.step)
          && isSuitable.test(worker)) {
        largest = worker;
      }
    }
    return Optional.ofNullable(largest);
  }

  /**
   * Finds workers for all tasks of a gang at once, by placing them one by one on copies of the free
   * capacities.
   *
   * @return the worker of each task; empty if not all of them fit
   */
  Optional<Map<Task, Worker>> chooseForGang(
      Collection<Task> tasks, Map<String, String> tickets, boolean needsTicket) {
    Optional<Map<Task, Worker>> chosen = chooseForGang(tasks, tickets, needsTicket, false);
    return chosen.isEmpty() && hasBlockedWorker
        ? chooseForGang(tasks, tickets, needsTicket, true)
        : chosen;
  }

  private Optional<Map<Task, Worker>> chooseForGang(
      Collection<Task> tasks, Map<String, String> tickets, boolean needsTicket, boolean mayProbe) {
    if (!hasRoomForAll(tasks)) {
      return Optional.empty();
    }
    Map<Worker, Resources> freeByWorker = new HashMap<>();
    Map<Worker, Integer> counts = new HashMap<>();
    Map<Task, Worker> chosen = new HashMap<>();
    for (Task task : tasks) {
      Worker best = null;
      double bestCost = Double.MAX_VALUE;
      for (Worker worker : pool) {
        Resources remaining = freeByWorker.getOrDefault(worker, worker.freeCapacity());
        int count = counts.getOrDefault(worker, 0);
        int limit = task.step.spec.maxPerWorker();
        if (heldWorkers.containsKey(worker)
            || heldForSuspects.contains(worker)
            || (worker.health.isBlocked(nowMs) && !(mayProbe && isProbeDue(worker)))
            || !remaining.holds(task.step.spec.reserved())
            || !mayRun(worker, task.step)
            || (limit > 0 && worker.countRuns(task.step) + count >= limit)
            || !admits(worker, tickets, needsTicket)) {
          continue;
        }
        double cost = cost(worker, task) + rackSpanCost(worker, chosen, task.step.spec);
        if (cost < bestCost) {
          best = worker;
          bestCost = cost;
        }
      }
      if (best == null) {
        return Optional.empty();
      }
      freeByWorker.merge(
          best,
          best.freeCapacity().minus(task.step.spec.reserved()),
          (remaining, ignored) -> remaining.minus(task.step.spec.reserved()));
      counts.merge(best, 1, Integer::sum);
      chosen.put(task, best);
    }
    return Optional.of(chosen);
  }

  /** Returns whether the free capacity of the pool holds all tasks of a gang, worker by worker. */
  private boolean hasRoomForAll(Collection<Task> tasks) {
    Step step = tasks.iterator().next().step;
    int rooms = 0;
    for (Worker worker : pool) {
      if (mayRun(worker, step)) {
        Resources free = worker.freeCapacity();
        int allowed =
            step.spec.maxPerWorker() == 0
                ? tasks.size()
                : step.spec.maxPerWorker() - worker.countRuns(step);
        for (; allowed > 0 && free.holds(step.spec.reserved()); allowed--) {
          free = free.minus(step.spec.reserved());
          rooms++;
          if (rooms >= tasks.size()) {
            return true;
          }
        }
      }
    }
    return false;
  }

  private double rackSpanCost(Worker worker, Map<Task, Worker> chosen, StepSpec spec) {
    boolean isOtherRack =
        spec.isRackSensitive()
            && chosen.values().stream()
                .anyMatch(other -> !other.listing.rack().equals(worker.listing.rack()));
    return isOtherRack ? remoteSlowdownFactor : 0;
  }
}
