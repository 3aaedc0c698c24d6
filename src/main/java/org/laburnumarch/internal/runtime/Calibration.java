package org.laburnumarch.internal.runtime;

/**
 * How often the runs of a queue took less time than had been predicted. Older runs lose weight, so
 * that it shows the last few hundred runs.
 */
public final class Calibration {

  private static final int MEMORY_RUNS = 200;

  private long runs;
  private double belowMedian;
  private double belowHigh;

  void add(boolean isBelowMedian, boolean isBelowHigh) {
    runs++;
    double weight = Math.max(1.0 / MEMORY_RUNS, 1.0 / runs);
    belowMedian += weight * ((isBelowMedian ? 1 : 0) - belowMedian);
    belowHigh += weight * ((isBelowHigh ? 1 : 0) - belowHigh);
  }

  /** Returns the number of runs so far. */
  public long runs() {
    return runs;
  }

  /** Returns the fraction of runs below the predicted 0.5 quantile; well calibrated at 0.5. */
  public double belowMedian() {
    return belowMedian;
  }

  /** Returns the fraction of runs below the predicted 0.9 quantile; well calibrated at 0.9. */
  public double belowHigh() {
    return belowHigh;
  }
}
