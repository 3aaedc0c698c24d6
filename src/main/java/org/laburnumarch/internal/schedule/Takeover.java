package org.laburnumarch.internal.schedule;

import java.util.Collection;
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
  private final long overAtMs;

  Takeover(SchedulerSettings settings, long nowMs, boolean hadEarlierOwner) {
    this.hadEarlierOwner = hadEarlierOwner;
    this.overAtMs =
        nowMs + (long) ((settings.earlierOwnerLimitMs() + settings.leaseMs()) * CLOCK_DRIFT);
  }

  boolean isOver(long nowMs) {
    return !hadEarlierOwner || nowMs > overAtMs;
  }

  /** Returns whether inherited work may still be running unseen in a pool. */
  boolean isBlocked(Collection<Worker> pool, long nowMs) {
    return !isOver(nowMs) && pool.stream().anyMatch(worker -> !worker.isFenced);
  }

  /** Returns the most that may be running unseen on workers that have not reported. */
  Resources unseen(Collection<Worker> workers, long nowMs) {
    Resources sum = Resources.NONE;
    if (isOver(nowMs)) {
      return sum;
    }
    for (Worker worker : workers) {
      if (!worker.isFenced && worker.isEnrolled) {
        sum = sum.plus(worker.listing.capacity());
      }
    }
    return sum;
  }
}
