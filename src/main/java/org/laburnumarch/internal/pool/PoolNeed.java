package org.laburnumarch.internal.pool;

import org.laburnumarch.internal.forecast.PoolForecast;

/**
 * What a pool needs, in instances.
 *
 * @param least how many it must have for its long-running tasks, or for any short task to run
 * @param inUse how many the tasks occupy that run or can run now, in time or late
 * @param forecast how many it wants and is expected to want
 */
record PoolNeed(int least, int inUse, PoolForecast forecast) {

  /** Returns how many instances the pool keeps while other pools want instances for their work. */
  int kept() {
    return Math.max(inUse, forecast.ahead());
  }

  /** Returns how many instances the pool keeps as long as no other one wants them. */
  int held() {
    return Math.max(inUse, forecast.hold());
  }

  /** Returns the share of a number of wanted instances that is there. */
  static double coverage(int present, int wanted) {
    return (double) present / Math.max(1, wanted);
  }
}
