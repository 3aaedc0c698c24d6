package org.laburnumarch.internal.schedule;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.laburnumarch.internal.job.TaskKey;

/**
 * Prevents a second start of tasks that an earlier owner started on a worker that has not reported
 * yet. Such a task waits until the workers that may have it have reported, or until every lease
 * that the earlier owner may have requested has expired. A worker with more ends than it reports at
 * a time counts once it has reported all, because its leases are renewed until then. Where the
 * earlier owner has left the locations of its runs, only these workers count; otherwise all of the
 * pools do to which the job's queue has gone since the job was accepted.
 *
 * <p>Earlier owners stop sending orders at one time, and the leases that they have requested expire
 * a lease later, for each worker as far as that is known. Where it is not known, the longest lease
 * that a worker grants counts: an order that reaches a restarted worker names a time on the clock
 * of its earlier incarnation, which lies far ahead on the new clock. A worker whose process is
 * known to have ended does not count from the first of these times on: before it, a new process
 * might still get an order. A worker that cannot be reached may be running, whether its address
 * refuses connections or does not answer, so its leases count.
 */
final class TakeoverGuard {

  private final long leaseWaitMs;
  private final long authorityWaitMs;

  /**
   * Local time from which no run of an earlier owner can be going on at workers that have not
   * reported.
   */
  private long overAtMs;

  private boolean isOver;

  /** Local time from which no earlier owner sends orders any more. */
  private long ordersOverAtMs;

  /** Local time from which the owners before the earlier one send no orders, as it has stored. */
  private long storedOrdersOverAtMs = Long.MAX_VALUE;

  /** Whether the earlier owner has left the locations of its runs, which are exact. */
  private boolean hasLocations;

  TakeoverGuard(SchedulerSettings settings, long nowMs, boolean hadEarlierOwner) {
    this.leaseWaitMs = settings.longestLeaseMs();
    this.authorityWaitMs =
        (long) (settings.earlierOwnerAuthorityMs() * SchedulerSettings.SLOW_CLOCK_FACTOR);
    this.ordersOverAtMs = hadEarlierOwner ? nowMs + authorityWaitMs : nowMs;
    this.overAtMs = hadEarlierOwner ? ordersOverAtMs + leaseWaitMs : nowMs;
    this.isOver = !hadEarlierOwner;
  }

  /** Returns whether no task can be held any more. Never becomes false again. */
  boolean isOver(WorkerTable workers, long nowMs) {
    isOver |=
        nowMs > overAtMs
            && workers.all().stream().noneMatch(worker -> mayHaveUnlistedEnds(worker, nowMs));
    return isOver;
  }

  private boolean mayHaveUnlistedEnds(Worker worker, long nowMs) {
    return worker.isFenced && isUnreported(worker, nowMs);
  }

  /**
   * Returns the local time from which no run of an earlier owner can be going on at workers that
   * have not reported.
   */
  long overAtMs() {
    return overAtMs;
  }

  /**
   * Returns whether runs of earlier owners may be going on unreported at a worker, or may have
   * ended there without their ends having been reported.
   */
  boolean isUnreported(Worker worker, long nowMs) {
    // A process that has ended has no runs, unless a later one gets orders of an earlier owner.
    boolean hasEnded =
        worker.process.hasEndedAsShownSince(ordersOverAtMs) && nowMs >= ordersOverAtMs;
    boolean isKnown = worker.hasListedAllRuns && !mayHaveForgottenTerm(worker);
    if (isKnown || worker.isTerminated || hasEnded) {
      return false;
    }
    return worker.isFenced
        ? worker.missedReports == 0 || leasesLeftMs(worker, nowMs) > 0
        : nowMs < worker.earlierRunsOverAtMs;
  }

  /**
   * Returns whether a silent worker may have restarted since its last report and obey an earlier
   * owner again.
   */
  private boolean mayHaveForgottenTerm(Worker worker) {
    return worker.missedReports > 0 && worker.reportRequestedAtMs < ordersOverAtMs;
  }

  /**
   * Returns whether runs of earlier owners may be going on unreported in the pools of some
   * services, or anywhere if none is given.
   */
  boolean isBlocked(WorkerTable workers, Set<String> services, long nowMs) {
    return !isOver(workers, nowMs)
        && workers.poolsOrAll(services).anyMatch(worker -> isUnreported(worker, nowMs));
  }

  /**
   * Returns the workers at which runs of earlier owners may be going on unreported, of the pools of
   * some services or of all if none is given.
   */
  List<Worker> unreported(WorkerTable workers, Set<String> services, long nowMs) {
    return workers.poolsOrAll(services).filter(worker -> isUnreported(worker, nowMs)).toList();
  }

  /**
   * Determines which tasks of an inherited job may be running on workers that have not reported.
   * The tasks of a gang wait together, since they start together.
   */
  void updateHeldTasks(Job job, WorkerTable workers, long nowMs) {
    boolean isTakeoverOver = isOver(workers, nowMs);
    boolean isAnyPoolBlocked = isBlocked(workers, job.earlierServices(), nowMs);
    for (List<Step> steps : job.occurrences.values()) {
      for (Step step : steps) {
        boolean isAnyHeld = false;
        for (Task task : step.tasks) {
          task.isHeld =
              !isTakeoverOver
                  && !task.isDone
                  && task.attempt == null
                  && mayHaveEarlierRun(task, isAnyPoolBlocked, workers, nowMs);
          isAnyHeld |= task.isHeld;
        }
        if (isAnyHeld && step.spec.isGang()) {
          step.tasks.forEach(task -> task.isHeld = true);
        }
      }
    }
  }

  private boolean mayHaveEarlierRun(
      Task task, boolean isAnyPoolBlocked, WorkerTable workers, long nowMs) {
    // An earlier owner may learn of the end of a known run and start another while it sends orders.
    if (task.knownRunAtMs >= ordersOverAtMs && nowMs >= ordersOverAtMs) {
      return false;
    }
    return task.earlierRun.isAnywhere()
        ? isAnyPoolBlocked
        : unresolvedWorkers(task, workers, nowMs).findAny().isPresent();
  }

  /** Returns the workers that may have an unreported run of a task. */
  Stream<Worker> unresolvedWorkers(Task task, WorkerTable workers, long nowMs) {
    return task.earlierRun
        .possibleWorkers(workers, task.step.job.earlierServices())
        .filter(worker -> isUnreported(worker, nowMs) && !task.earlierRun.isAbsentAt(worker));
  }

  /** Records from when the owners before the earlier one send no orders, as it has stored. */
  void onEarlierOrdersBounded(long overAtMs) {
    storedOrdersOverAtMs = Math.min(storedOrdersOverAtMs, overAtMs);
  }

  /**
   * Records that the earlier owner has certainly stopped, which may shorten the wait. The leases
   * that it requested still have to expire. So do those of the owners before it, which may have
   * gone on giving orders for a limited time after the earlier owner's claim, or until the time
   * that it has stored.
   */
  void onEarlierOwnerStopped(long earlierClaimedAtMs, long nowMs) {
    if (hasLocations) {
      return;
    }
    long earlierOverAtMs = Math.min(storedOrdersOverAtMs, earlierClaimedAtMs + authorityWaitMs);
    ordersOverAtMs = Math.min(ordersOverAtMs, Math.max(nowMs, earlierOverAtMs));
    overAtMs = Math.min(overAtMs, Math.max(nowMs, earlierOverAtMs) + leaseWaitMs);
  }

  /**
   * Takes over the locations of the runs that the earlier owner left when it stopped.
   *
   * @param jobs the unfinished jobs, all of them inherited
   */
  void restore(RunLocations locations, Map<String, Job> jobs, WorkerTable workers, long nowMs) {
    jobs.values().forEach(job -> job.setEarlierRuns(EarlierRun.NONE));
    locations
        .workersByTask()
        .forEach(
            (key, workerIds) -> {
              Job job = jobs.get(key.job());
              Task task = job == null ? null : job.find(key.occurrence(), key.step(), key.index());
              if (task != null) {
                task.earlierRun =
                    EarlierRun.on(workerIds, locations.absences().getOrDefault(key, Set.of()));
              }
            });
    long lastOverAtMs = nowMs;
    for (Worker worker : workers.all()) {
      worker.earlierRunsOverAtMs = nowMs + locations.leasesLeftMs().getOrDefault(worker.id, 0L);
      lastOverAtMs = Math.max(lastOverAtMs, worker.earlierRunsOverAtMs);
    }
    hasLocations = true;
    overAtMs = lastOverAtMs;
    ordersOverAtMs = nowMs + locations.earlierOrdersLeftMs();
  }

  /** Returns the time for which earlier owners may still send orders. */
  long ordersLeftMs(long nowMs) {
    return Math.max(0, ordersOverAtMs - nowMs);
  }

  /**
   * Returns the time after which no lease of a worker can be valid any more. A worker that has
   * reported may still have leases of earlier owners.
   */
  long leasesLeftMs(Worker worker, long nowMs) {
    long earlierExpireAtMs = Math.min(overAtMs, worker.earlierRunsOverAtMs);
    long expireAtMs = Math.max(worker.leasesExpireAtMs(), earlierExpireAtMs);
    return Math.max(expireAtMs, nowMs) - nowMs;
  }

  /** Adds the tasks of a job that may be running on workers that have not reported. */
  void addUnresolved(
      Job job, WorkerTable workers, Map<TaskKey, Set<String>> workersByTask, long nowMs) {
    updateHeldTasks(job, workers, nowMs);
    for (List<Step> steps : job.occurrences.values()) {
      for (Step step : steps) {
        for (Task task : step.tasks) {
          if (task.isHeld) {
            workersByTask
                .computeIfAbsent(task.key, key -> new HashSet<>())
                .addAll(
                    unresolvedWorkers(task, workers, nowMs)
                        .map(worker -> worker.id)
                        .collect(Collectors.toSet()));
          }
        }
      }
    }
  }
}
