package org.laburnumarch.internal.pool;

import org.laburnumarch.internal.forecast.PoolForecast;

/**
 * What a pool needs, in instances.
 *
 * @param least how many it must have for its long-running tasks, or for any short task to run
 * @param forecast how many it wants and is expected to want
 */
record PoolNeed(int least, PoolForecast forecast) {

  /** Returns the share of a number of wanted instances that is there. */
  static double coverage(int present, int wanted) {
    return (double) present / Math.max(1, wanted);
  }
}
