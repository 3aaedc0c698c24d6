package org.laburnumarch.internal.schedule;

import java.util.Collection;
import java.util.List;
import org.laburnumarch.internal.job.Resources;

/**
 * Guards against starting what an earlier owner has started on a worker that has not reported yet.
 * Work of before the take-over waits until all workers of its pool have reported, or until every
 * lease that the earlier owner may have granted has run out.
 */
final class Takeover {

  /** Clocks of workers may be slower than real time by this factor. */
  private static final double CLOCK_DRIFT = 1.03;

  private final boolean hadEarlierOwner;
  private final long leaseMs;
  private final long wholeWaitMs;
  private long overAtMs;

  Takeover(SchedulerSettings settings, long nowMs, boolean hadEarlierOwner) {
    this.hadEarlierOwner = hadEarlierOwner;
    this.leaseMs = settings.leaseMs();
    this.wholeWaitMs = (long) ((settings.earlierOwnerLimitMs() + settings.leaseMs()) * CLOCK_DRIFT);
    this.overAtMs = nowMs + wholeWaitMs;
  }

  boolean isOver(long nowMs) {
    return !hadEarlierOwner || nowMs > overAtMs;
  }

  /** Returns whether inherited work may still be running unseen in a pool. */
  boolean isBlocked(Collection<Worker> pool, long nowMs) {
    return !isOver(nowMs) && pool.stream().anyMatch(worker -> !worker.isFenced);
  }

  /**
   * Returns the most that tasks of a job may be using on workers that have not reported: all its
   * tasks that might have been started before the take-over and that no worker has shown.
   */
  Resources unseen(Job job) {
    Resources sum = Resources.NONE;
    for (List<Step> steps : job.occurrences.values()) {
      for (Step step : steps) {
        if (step.isDone() || !Job.isUnlocked(step, steps)) {
          continue;
        }
        for (Task task : step.tasks) {
          if (!task.isDone && task.attempt == null) {
            sum = sum.plus(step.spec.need());
          }
        }
      }
    }
    return sum;
  }

  /**
   * Notes that the earlier owner has surely stopped. Its leases have to run out, and so has what
   * the owner before it may have granted, which stopped by itself after the earlier one's claim.
   */
  void onEarlierOwnerStopped(long earlierClaimedAtMs, long nowMs) {
    long leasesOverAtMs = nowMs + (long) (leaseMs * CLOCK_DRIFT);
    long olderOverAtMs = earlierClaimedAtMs + wholeWaitMs;
    overAtMs = Math.min(overAtMs, Math.max(leasesOverAtMs, olderOverAtMs));
  }
}
