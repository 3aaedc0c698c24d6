package org.laburnumarch.internal.experiment;

import java.util.ArrayDeque;

/**
 * Compares the running requests of teams with their entitlements, over sliding windows of 10 s.
 *
 * <p>Only windows in which the fleet was overloaded at every sample count.
 */
final class FairnessMeter {
  /** Interval between samples. */
  static final long SAMPLE_MS = 50;

  private static final int WINDOW_SAMPLES = (int) (10_000 / SAMPLE_MS);

  private final double[] shares;
  private final int capacity;
  private final ArrayDeque<double[]> deviations = new ArrayDeque<>();
  private final double[] deviationSums;
  private long overloadedSamples;
  private double busySum;
  private long windows;
  private long closeWindows;
  private double worst;
  private double windowDeviationSum;

  FairnessMeter(double[] shares, int capacity) {
    this.shares = shares;
    this.capacity = capacity;
    this.deviationSums = new double[shares.length];
  }

  /**
   * Records a sample.
   *
   * @param busySlots number of the minions' slots in which a request runs
   */
  void sample(int[] running, int[] queued, int busySlots) {
    double[] demands = new double[shares.length];
    int waiting = 0;
    double demanded = 0;
    for (int i = 0; i < shares.length; i++) {
      demands[i] = running[i] + queued[i];
      demanded += demands[i];
      waiting += queued[i];
    }
    if (waiting == 0 || demanded < 1.2 * capacity) {
      deviations.clear();
      java.util.Arrays.fill(deviationSums, 0);
      return;
    }
    overloadedSamples++;
    busySum += busySlots;
    double[] entitlements = WeightedMaxMinFairness.allocate(capacity, shares, demands);
    double[] deviation = new double[shares.length];
    for (int i = 0; i < shares.length; i++) {
      deviation[i] = running[i] - entitlements[i];
      deviationSums[i] += deviation[i];
    }
    deviations.addLast(deviation);
    if (deviations.size() > WINDOW_SAMPLES) {
      double[] oldest = deviations.removeFirst();
      for (int i = 0; i < shares.length; i++) {
        deviationSums[i] -= oldest[i];
      }
    }
    if (deviations.size() == WINDOW_SAMPLES) {
      recordWindow();
    }
  }

  private void recordWindow() {
    double largest = 0;
    for (double deviationSum : deviationSums) {
      largest = Math.max(largest, Math.abs(deviationSum) / WINDOW_SAMPLES / capacity);
    }
    windows++;
    closeWindows += largest <= 0.02 ? 1 : 0;
    worst = Math.max(worst, largest);
    windowDeviationSum += largest;
  }

  /** Returns the figures of a run. */
  Result result() {
    return new Result(
        100.0 * busySum / Math.max(1, overloadedSamples) / capacity,
        100 * worst,
        100 * windowDeviationSum / Math.max(1, windows),
        100.0 * closeWindows / Math.max(1, windows),
        windows);
  }

  /**
   * Figures of a run, in percent of capacity or of windows.
   *
   * @param busyPercent mean fraction of busy slots while the fleet was overloaded
   * @param worstPercent largest deviation of a team from its entitlement in any window
   * @param meanPercent mean over the windows of the largest deviation
   * @param closePercent windows in which no team deviated by more than 2% of the capacity
   */
  record Result(
      double busyPercent,
      double worstPercent,
      double meanPercent,
      double closePercent,
      long windowCount) {}
}
