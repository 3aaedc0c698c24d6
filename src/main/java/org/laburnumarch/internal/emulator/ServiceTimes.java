package org.laburnumarch.internal.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Draws exponentially distributed service times, limited to a multiple of the mean. */
final class ServiceTimes {

  /** Limit as a multiple of the mean, so that a single request does not outlast a short run. */
  private static final double MAX_MULTIPLE_OF_MEAN = 10;

  private final UniformRandomProvider random;
  private double meanMs;

  /**
   * Creates a distribution.
   *
   * @param meanMs mean before the limit is applied
   * @param seed seed of the random numbers
   */
  ServiceTimes(double meanMs, long seed) {
    this.meanMs = meanMs;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Changes the mean. */
  synchronized void setMean(double newMeanMs) {
    meanMs = newMeanMs;
  }

  /** Draws a service time in microseconds. */
  synchronized long nextMicros() {
    double multiple = Math.min(MAX_MULTIPLE_OF_MEAN, -Math.log(1 - random.nextDouble()));
    return Math.round(multiple * meanMs * 1_000);
  }
}
