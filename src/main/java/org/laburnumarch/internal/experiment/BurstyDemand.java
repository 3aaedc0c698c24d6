package org.laburnumarch.internal.experiment;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Arrivals of one team: bursts of some seconds at five times the mean rate, with a twentieth of the
 * mean rate in between.
 *
 * <p>Service times are log-normal, since real run times differ widely from the declared ones and
 * some are much longer.
 */
final class BurstyDemand {
  private static final double BURST_FACTOR = 5;
  private static final double QUIET_FACTOR = 0.05;

  /** Fraction of time spent in bursts, such that the overall mean rate is kept. */
  private static final double BURST_FRACTION = (1 - QUIET_FACTOR) / (BURST_FACTOR - QUIET_FACTOR);

  private static final double MEAN_BURST_MS = 5_000;
  private static final double SERVICE_TIME_SIGMA = 0.7;

  private final UniformRandomProvider random;
  private final double meanPerMs;
  private final double meanServiceMs;
  private boolean isBurst;
  private double phaseEndMs;
  private double nextMs;

  BurstyDemand(UniformRandomProvider random, double meanPerMs, double meanServiceMs) {
    this.random = random;
    this.meanPerMs = meanPerMs;
    this.meanServiceMs = meanServiceMs;
  }

  /** Returns the time of the next arrival, in milliseconds of virtual time. */
  long nextArrivalMs() {
    double ratePerMs = meanPerMs * (isBurst ? BURST_FACTOR : QUIET_FACTOR);
    double candidateMs = nextMs + exponential(1 / ratePerMs);
    while (candidateMs > phaseEndMs) {
      nextMs = phaseEndMs;
      isBurst = !isBurst;
      double meanPhaseMs =
          isBurst ? MEAN_BURST_MS : MEAN_BURST_MS * (1 - BURST_FRACTION) / BURST_FRACTION;
      phaseEndMs += meanPhaseMs * (0.5 + random.nextDouble());
      ratePerMs = meanPerMs * (isBurst ? BURST_FACTOR : QUIET_FACTOR);
      candidateMs = nextMs + exponential(1 / ratePerMs);
    }
    nextMs = candidateMs;
    return (long) candidateMs;
  }

  /** Returns the run time of one request in milliseconds, at least 1. */
  long serviceMs() {
    double gaussian = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
    gaussian *= Math.cos(2 * Math.PI * random.nextDouble());
    double median = meanServiceMs / Math.exp(SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2);
    return Math.max(1, Math.round(median * Math.exp(SERVICE_TIME_SIGMA * gaussian)));
  }

  private double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }
}
