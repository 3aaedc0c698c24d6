package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
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
   * One in this many workers of a pool, but at least one, may be held for long-running tasks. The
   * others serve short tasks meanwhile.
   */
  private static final int POOL_SIZE_PER_HELD_WORKER = 2;

  /**
   * Weight of the fraction of a worker that would stay free. Filling one worker after the other
   * leaves others empty, whose instances can then move at once. The weight is so small that a slow
   * worker still costs more than an empty one.
   */
  private static final double FREE_CAPACITY_WEIGHT = 0.3;

  /** The number and the size of tasks that must start at once. */
  private record Gang(int tasks, TaskSize size) {
    boolean isAtLeast(Gang other) {
      return tasks >= other.tasks && size.isAtLeast(other.size);
    }
  }

  private final Collection<Worker> pool;
  private final Set<String> outOfServiceDataCentres;
  private final double remoteSlowdownFactor;
  private final long nowMs;
  private final boolean hasBlockedWorker;
  private final boolean isMostlyIdle;

  /** The workers that may start a task of a size now that ends by itself. */
  private final NarrowingChoice withRoom;

  /** The workers that may start a long-running task of a size now. */
  private final NarrowingChoice withLastingRoom;

  /** The workers on which a task of a size will fit once short tasks have ended. */
  private final NarrowingChoice holdable;

  /**
   * Workers that get no further short tasks in this round, so that long-running tasks will fit
   * there, and these tasks.
   */
  private final Map<Worker, List<Task>> heldWorkers = new LinkedHashMap<>();

  /** The least gangs that the free capacity of the pool does not hold. */
  private final List<Gang> gangsWithoutRoom = new ArrayList<>();

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
    this.withRoom =
        new NarrowingChoice(
            pool, (worker, size) -> !heldWorkers.containsKey(worker) && hasRoom(worker, size));
    this.withLastingRoom =
        new NarrowingChoice(
            pool,
            (worker, size) ->
                leavesHeldTasksRoom(worker, size.reserved()) && hasRoom(worker, size));
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
    return (step.spec.isLongRunning() ? withLastingRoom : withRoom)
        .findAny(
            step.size, worker -> mayAdd(worker, step) && hasTicket(worker, tickets, needsTicket))
        .isPresent();
  }

  private static boolean hasTicket(
      Worker worker, Map<String, String> tickets, boolean needsTicket) {
    return !needsTicket || tickets.containsKey(worker.id);
  }

  private boolean hasRoom(Worker worker, TaskSize size) {
    return worker.ordersInFlight < worker.maxOrdersInFlight
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
      if (isHeldBack(worker, task)
          || worker.ordersInFlight >= worker.maxOrdersInFlight
          || (needsIsolation && worker.newRunCount() > 0)
          || (needsSeparation && worker.hasNewSuspect())
          || (isIsolated(worker) && !mayEndIsolation)
          || (worker.health.isBlocked(nowMs) && !(mayProbe && isProbeDue(worker)))
          || !worker.freeCapacity().holds(task.step.spec.reserved())
          || !isEligible(worker, task.step)
          || !hasTicket(worker, tickets, needsTicket)) {
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

  /** Returns whether a worker is held for tasks that would fit there later without this one. */
  private boolean isHeldBack(Worker worker, Task task) {
    StepSpec spec = task.step.spec;
    return heldWorkers.containsKey(worker)
        && !(spec.isLongRunning() && leavesHeldTasksRoom(worker, spec.reserved()));
  }

  /**
   * Returns whether the tasks for which a worker is held will fit there beside another long-running
   * task. True for a worker that is not held.
   */
  private boolean leavesHeldTasksRoom(Worker worker, Resources amount) {
    return !heldWorkers.containsKey(worker) || capacityBesideHeldTasks(worker).holds(amount);
  }

  /** Returns what will be free for long-running tasks beside those for which a worker is held. */
  private Resources capacityBesideHeldTasks(Worker worker) {
    Resources remaining = worker.capacityBesideLongRunningTasks();
    for (Task held : heldWorkers.getOrDefault(worker, List.of())) {
      remaining = remaining.minus(held.step.spec.reserved());
    }
    return remaining;
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
    findLargestWorkerFor(task, worker -> hasTicket(worker, tickets, needsTicket))
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
        && isInService(worker)
        && worker.listing.capacity().holds(size.need())
        && (size.requiredLabel().isEmpty()
            || worker.listing.labels().contains(size.requiredLabel()));
  }

  private boolean isInService(Worker worker) {
    return !outOfServiceDataCentres.contains(worker.listing.dataCentre());
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
   * Holds back a worker for a task: it gets no further short tasks in this round, so that the task
   * fits there in a later round. A worker that is held for other tasks and will have room for this
   * one, too, goes before the one with the most free memory. Half of the pool is not held. A worker
   * where long-running tasks leave too little for it is not held back, because they do not end.
   */
  void holdWorkerFor(Task task, Map<String, String> tickets, boolean needsTicket) {
    Step step = task.step;
    Predicate<Worker> isAllowed =
        worker -> mayAdd(worker, step) && hasTicket(worker, tickets, needsTicket);
    if (holdable.findAny(step.size, isAllowed).isEmpty()) {
      return;
    }
    Predicate<Worker> isSuitable = isAllowed.and(worker -> isHoldable(worker, step.size));
    heldWorkers.keySet().stream()
        .filter(isSuitable)
        .findFirst()
        .or(() -> mayHoldAnother() ? findLargestWorkerFor(task, isSuitable) : Optional.empty())
        .ifPresent(
            worker -> heldWorkers.computeIfAbsent(worker, held -> new ArrayList<>()).add(task));
  }

  private boolean mayHoldAnother() {
    long accepting =
        pool.stream().filter(worker -> worker.acceptsTasks() && isInService(worker)).count();
    return heldWorkers.size() < Math.max(1, accepting / POOL_SIZE_PER_HELD_WORKER);
  }

  private boolean isHoldable(Worker worker, TaskSize size) {
    return !isIsolated(worker)
        && !worker.health.isBlocked(nowMs)
        && accepts(worker, size)
        && capacityBesideHeldTasks(worker).holds(size.reserved());
  }

  /** Returns the workers that are held back for tasks which fit nowhere yet, with these tasks. */
  Map<Worker, List<Task>> heldWorkers() {
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
    Step step = tasks.iterator().next().step;
    Gang gang = new Gang(tasks.size(), step.size);
    if (gangsWithoutRoom.stream().anyMatch(gang::isAtLeast)) {
      return Optional.empty();
    }
    if (!hasRoomForAll(step)) {
      if (step.spec.maxPerWorker() == 0) {
        gangsWithoutRoom.removeIf(larger -> larger.isAtLeast(gang));
        gangsWithoutRoom.add(gang);
      }
      return Optional.empty();
    }
    Optional<Map<Task, Worker>> chosen = chooseForGang(tasks, tickets, needsTicket, false);
    return chosen.isEmpty() && hasBlockedWorker
        ? chooseForGang(tasks, tickets, needsTicket, true)
        : chosen;
  }

  private Optional<Map<Task, Worker>> chooseForGang(
      Collection<Task> tasks, Map<String, String> tickets, boolean needsTicket, boolean mayProbe) {
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
            || !hasTicket(worker, tickets, needsTicket)) {
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
  private boolean hasRoomForAll(Step gang) {
    int tasks = gang.tasks.size();
    int limit = gang.spec.maxPerWorker();
    Resources need = gang.spec.reserved();
    int rooms = 0;
    for (Worker worker : pool) {
      if (mayRun(worker, gang)) {
        Resources free = worker.freeCapacity();
        int allowed = limit == 0 ? tasks : limit - worker.countRuns(gang);
        for (; allowed > 0 && free.holds(need); allowed--) {
          free = free.minus(need);
          rooms++;
          if (rooms >= tasks) {
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
