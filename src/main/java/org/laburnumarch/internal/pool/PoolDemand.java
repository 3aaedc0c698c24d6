package org.laburnumarch.internal.pool;

/**
 * The number of workers that a pool needs, in fractions of workers.
 *
 * @param batchWorkers workers for short tasks, that is, tasks that end by themselves, so that they
 *     meet their deadlines
 * @param runnableWorkers workers that short tasks occupy if all run that can run now
 * @param longRunningWorkers workers for the resources that long-running tasks occupy
 * @param minWorkers smallest number of workers on which no step exceeds its limit of tasks per
 *     worker
 * @param gangWorkers smallest number of workers that hold each waiting or running gang at once
 */
public record PoolDemand(
    double batchWorkers,
    double runnableWorkers,
    double longRunningWorkers,
    int minWorkers,
    int gangWorkers) {

  /** The demand for a pool without tasks. */
  public static final PoolDemand NONE = new PoolDemand(0, 0, 0);

  /** Creates a demand without gangs. */
  public PoolDemand(
      double batchWorkers, double runnableWorkers, double longRunningWorkers, int minWorkers) {
    this(batchWorkers, runnableWorkers, longRunningWorkers, minWorkers, 0);
  }

  /** Creates a demand of work that must all run at once. */
  public PoolDemand(double batchWorkers, double longRunningWorkers, int minWorkers) {
    this(batchWorkers, batchWorkers, longRunningWorkers, minWorkers);
  }
}
