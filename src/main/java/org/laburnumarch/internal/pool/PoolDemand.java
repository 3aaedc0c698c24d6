package org.laburnumarch.internal.pool;

/**
 * The number of workers that a pool needs, in fractions of workers.
 *
 * @param batchWorkers workers for short tasks, that is, tasks that end by themselves, so that they
 *     meet their deadlines
 * @param longRunningWorkers workers for the resources that long-running tasks occupy
 * @param minWorkers smallest number of workers on which no step exceeds its limit of tasks per
 *     worker
 * @param slackMs how long its short jobs can usually wait for a worker and still meet their
 *     objectives, in milliseconds
 */
public record PoolDemand(
    double batchWorkers, double longRunningWorkers, int minWorkers, double slackMs) {

  /** The demand for a pool without tasks. */
  public static final PoolDemand NONE = new PoolDemand(0, 0, 0);

  /** Creates the demand for a pool whose short jobs cannot wait. */
  public PoolDemand(double batchWorkers, double longRunningWorkers, int minWorkers) {
    this(batchWorkers, longRunningWorkers, minWorkers, 0);
  }
}
