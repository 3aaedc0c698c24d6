package org.laburnumarch.internal.forecast;

/** Decides how many instances each pool should have, from what it wanted until now. */
public interface PoolForecaster {

  /**
   * Records what a pool wants and returns its forecast. Must be called for every pool in each round
   * of planning.
   *
   * @param wanted number of instances that the pool wants now
   * @param hasBatchDemand whether short tasks want any of them
   * @param present number of instances that the pool has, once all pending moves are done
   */
  PoolForecast update(String pool, int wanted, boolean hasBatchDemand, int present, long nowMs);
}
