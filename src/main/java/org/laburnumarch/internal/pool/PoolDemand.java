package org.laburnumarch.internal.pool;

/**
 * What a pool needs.
 *
 * @param shortWorkers workers for tasks that end by themselves, at the pace that keeps them in time
 * @param lastingWorkers workers for the room that lasting tasks take
 * @param spread least number of workers, because tasks of one step must not share one
 */
public record PoolDemand(double shortWorkers, double lastingWorkers, int spread) {

  /** A pool that nobody asks. */
  public static final PoolDemand NONE = new PoolDemand(0, 0, 0);
}
