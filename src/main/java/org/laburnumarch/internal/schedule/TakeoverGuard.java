package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.laburnumarch.internal.job.Resources;

/**
 * Prevents a second start of tasks that an earlier owner started on a worker that has not reported
 * yet. Jobs accepted before the takeover wait until all workers of their pool have reported, or
 * until every lease that the earlier owner may have requested has expired.
 */
final class TakeoverGuard {

  /** Factor by which a time on a worker's clock may take longer in real time. */
  private static final double SLOW_CLOCK_FACTOR = 1.03;

  private final boolean hadEarlierOwner;
  private final long leaseMs;
  private final long fullWaitMs;
  private long overAtMs;

  TakeoverGuard(SchedulerSettings settings, long nowMs, boolean hadEarlierOwner) {
    this.hadEarlierOwner = hadEarlierOwner;
    this.leaseMs = settings.leaseMs();
    this.fullWaitMs =
        (long) ((settings.earlierOwnerAuthorityMs() + settings.leaseMs()) * SLOW_CLOCK_FACTOR);
    this.overAtMs = nowMs + fullWaitMs;
  }

  boolean isOver(long nowMs) {
    return !hadEarlierOwner || nowMs > overAtMs;
  }

  /** Returns the local time at which no run of an earlier owner can be going on any more. */
  long overAtMs() {
    return overAtMs;
  }

  /**
   * Returns whether tasks of inherited jobs may still be running on workers of a pool that have not
   * reported.
   */
  boolean isBlocked(Collection<Worker> pool, long nowMs) {
    return !isOver(nowMs) && pool.stream().anyMatch(worker -> !worker.isFenced);
  }

  /**
   * Returns the most that tasks of a job may be using on workers that have not reported: the sum
   * over all tasks that may have been started before the takeover and that no worker has reported.
   */
  Resources maxUnreportedUsage(Job job) {
    Resources sum = Resources.NONE;
    for (Task task : unreportedTasks(job)) {
      sum = sum.plus(task.step.spec.need());
    }
    return sum;
  }

  /** Returns the tasks that may have been started before the takeover and no worker reported. */
  List<Task> unreportedTasks(Job job) {
    List<Task> unreported = new ArrayList<>();
    for (List<Step> steps : job.occurrences.values()) {
      for (Step step : steps) {
        if (step.isDone() || !Job.areDependenciesDone(step, steps)) {
          continue;
        }
        for (Task task : step.tasks) {
          if (!task.isDone && task.attempt == null) {
            unreported.add(task);
          }
        }
      }
    }
    return unreported;
  }

  /**
   * Records that the earlier owner has certainly stopped, which may shorten the wait. The leases
   * that it requested still have to expire. So do those of the owner before it, which may have gone
   * on giving orders for a limited time after the earlier owner's claim.
   */
  void onEarlierOwnerStopped(long earlierClaimedAtMs, long nowMs) {
    long leasesOverAtMs = nowMs + (long) (leaseMs * SLOW_CLOCK_FACTOR);
    long olderLeasesOverAtMs = earlierClaimedAtMs + fullWaitMs;
    overAtMs = Math.min(overAtMs, Math.max(leasesOverAtMs, olderLeasesOverAtMs));
  }
}
