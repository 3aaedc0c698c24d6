package org.laburnumarch.internal.runtime;

import java.util.Arrays;

/**
 * A histogram of logarithms in which older values lose weight with each newer one. The counts are
 * fractions, which HdrHistogram does not support: it can neither fade counts nor spread a lower
 * bound over the values above it.
 */
final class LogHistogram {

  /** Width of a bucket; quantiles are exact to half of it, 3%. */
  private static final double BUCKET_WIDTH = 1.0 / 16;

  /** Number of buckets on each side of 0; values are limited to a factor of 55 on each side. */
  private static final int HALF = 64;

  private final float[] weights = new float[2 * HALF + 1];
  private final float fading;
  private float total;

  /**
   * Creates an empty histogram.
   *
   * @param memoryRuns number of later values after which a value has lost 63% of its weight
   */
  LogHistogram(int memoryRuns) {
    this.fading = 1 - 1f / memoryRuns;
  }

  /** Adds a value. */
  void add(double value) {
    fade();
    put(bucket(value), 1);
  }

  /**
   * Adds a value of which only a lower bound is known: its weight is spread over the values above
   * the bound in proportion to theirs. Without any, the bound itself counts.
   */
  void addAbove(double bound) {
    int first = bucket(bound);
    float above = 0;
    for (int i = first + 1; i < weights.length; i++) {
      above += weights[i];
    }
    fade();
    if (above <= 0) {
      put(first, 1);
      return;
    }
    for (int i = first + 1; i < weights.length; i++) {
      weights[i] += weights[i] / (above * fading);
    }
    total += 1;
  }

  private void fade() {
    float sum = 0;
    for (int i = 0; i < weights.length; i++) {
      weights[i] *= fading;
      sum += weights[i];
    }
    // Summed anew each time, so that rounding errors do not accumulate.
    total = sum;
  }

  private void put(int bucket, float weight) {
    weights[bucket] += weight;
    total += weight;
  }

  private static int bucket(double value) {
    long index = Math.round(value / BUCKET_WIDTH) + HALF;
    return (int) Math.max(0, Math.min(2L * HALF, index));
  }

  /** Returns a quantile, interpolated within its bucket; 0 if the histogram is empty. */
  double quantile(double fraction) {
    double remaining = fraction * total;
    if (total <= 0) {
      return 0;
    }
    int last = 0;
    for (int i = 0; i < weights.length; i++) {
      if (weights[i] > 0) {
        last = i;
        if (remaining <= weights[i]) {
          return (i - HALF - 0.5 + remaining / weights[i]) * BUCKET_WIDTH;
        }
        remaining -= weights[i];
      }
    }
    return (last - HALF + 0.5) * BUCKET_WIDTH;
  }

  /** Returns the logarithm of the mean of the values' exponentials; 0 if the histogram is empty. */
  double logMeanExp() {
    if (total <= 0) {
      return 0;
    }
    double sum = 0;
    for (int i = 0; i < weights.length; i++) {
      if (weights[i] > 0) {
        sum += weights[i] * Math.exp((i - HALF) * BUCKET_WIDTH);
      }
    }
    return Math.log(sum / total);
  }

  float total() {
    return total;
  }

  /** Replaces the contents by a number of equally likely values with a total weight. */
  void restore(double[] values, double weight) {
    Arrays.fill(weights, 0);
    total = 0;
    for (double value : values) {
      put(bucket(value), (float) (weight / values.length));
    }
  }
}
