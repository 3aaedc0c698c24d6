package org.laburnumarch.internal.platform.standin;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;

/**
 * Checks, while nothing unplanned happens, that no work waits for a start although its pool has
 * room. Work is a job none of whose tasks runs, or a long-running task. A job may wait behind
 * others in a pool of which half or more is in use; a long-running task may not.
 */
public final class StartDelayChecker {

  /** Longest time that work which may run has to wait while its pool has room for it. */
  private static final long MAX_DELAY_MS = 3_000;

  /** Time after the end of a long-running task's last run that does not count as delay. */
  private static final long RERUN_GRACE_MS = 6_000;

  /** How many times the pool must have room for the work. */
  private static final int ROOM_FACTOR = 2;

  /** What a GPU counts beside cores, in thousandths of a core. */
  private static final long CORE_MILLIS_PER_GPU = 8_000;

  /** Part of a pool's capacity, as a divisor, that has to be in use for a job to wait. */
  private static final int BUSY_DIVISOR = 2;

  /**
   * Work that may run and does not.
   *
   * @param name the job, or the long-running task
   * @param task its next task
   * @param step the step of that task
   * @param lastEndAtMs when a long-running task's last run ended; negative if there is none
   */
  record WaitingWork(
      String name,
      String task,
      StepSpec step,
      String queue,
      String team,
      String service,
      long lastEndAtMs) {

    /** Returns how many more tasks of the step may run on a worker, as far as that matters. */
    private long tasksAllowedAt(SimulatedWorker worker) {
      String stepName = task.substring(0, task.lastIndexOf('.') + 1);
      return step.maxPerWorker() == 0
          ? ROOM_FACTOR
          : step.maxPerWorker() - worker.countRuns(stepName);
    }

    boolean isOfSameTeamAndPool(WaitingWork other) {
      return team.equals(other.team) && service.equals(other.service);
    }
  }

  private final InvariantChecker checker;
  private final Map<String, Long> waitsSinceMs = new HashMap<>();
  private final Set<String> reported = new HashSet<>();
  private long maxDelayMs;

  /** Creates a checker of the work that another checker knows; breaches are recorded there. */
  public StartDelayChecker(InvariantChecker checker) {
    this.checker = checker;
  }

  /** Returns the longest delay so far, in milliseconds. */
  public long maxDelayMs() {
    return maxDelayMs;
  }

  /** Forgets the waits so far, because something unplanned has delayed the daemons. */
  public void restart() {
    waitsSinceMs.clear();
  }

  /**
   * Records a breach for each wait that has become too long; to be called several times a second.
   *
   * @param workers the workers that take new tasks
   */
  public void check(Collection<SimulatedWorker> workers, long nowMs) {
    List<WaitingWork> waiting =
        checker.waitingWork().stream()
            .filter(work -> work.lastEndAtMs() < 0 || nowMs - work.lastEndAtMs() > RERUN_GRACE_MS)
            .filter(work -> hasRoom(workers, work))
            .filter(work -> work.step().isLongRunning() || !isBusy(workers, work.service()))
            .toList();
    Set<String> names = waiting.stream().map(WaitingWork::name).collect(Collectors.toSet());
    waitsSinceMs.keySet().retainAll(names);
    reported.retainAll(names);
    for (WaitingWork work : waiting) {
      long delayMs = nowMs - waitsSinceMs.computeIfAbsent(work.name(), name -> nowMs);
      maxDelayMs = Math.max(maxDelayMs, delayMs);
      if (delayMs > MAX_DELAY_MS && reported.add(work.name())) {
        checker.recordBreach(
            "LOST",
            String.format(
                Locale.ROOT,
                "%s may run and has not started for %d ms: queue=%s team=%s pool=%s,"
                    + " %d more of its team and pool wait",
                work.name(),
                delayMs,
                work.queue(),
                work.team(),
                work.service(),
                waiting.stream().filter(work::isOfSameTeamAndPool).count() - 1));
      }
    }
  }

  private static boolean hasRoom(Collection<SimulatedWorker> workers, WaitingWork work) {
    Resources need = work.step().need();
    long rooms = 0;
    for (SimulatedWorker worker : workers) {
      if (worker.service().equals(work.service())) {
        Resources free = worker.freeCapacity();
        for (long left = work.tasksAllowedAt(worker); left > 0 && free.holds(need); left--) {
          free = free.minus(need);
          rooms++;
        }
      }
    }
    return rooms >= ROOM_FACTOR;
  }

  /** Returns whether half or more of the cores of a pool is in use. */
  private static boolean isBusy(Collection<SimulatedWorker> workers, String service) {
    long capacity = 0;
    long free = 0;
    for (SimulatedWorker worker : workers) {
      if (worker.service().equals(service)) {
        capacity += coreMillis(worker.capacity());
        free += coreMillis(worker.freeCapacity());
      }
    }
    return BUSY_DIVISOR * (capacity - free) >= capacity;
  }

  private static long coreMillis(Resources amount) {
    return amount.cpuMillis() + CORE_MILLIS_PER_GPU * amount.gpus();
  }
}
