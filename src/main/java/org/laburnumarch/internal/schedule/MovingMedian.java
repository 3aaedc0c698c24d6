package org.laburnumarch.internal.schedule;

import java.util.Arrays;

/** The median of the newest values of a sequence, which single outliers do not change. */
final class MovingMedian {

  private final double[] values;
  private long count;

  MovingMedian(int size) {
    this.values = new double[size];
  }

  void add(double value) {
    values[(int) (count++ % values.length)] = value;
  }

  long count() {
    return count;
  }

  /** Returns the median; 0 if there are no values. */
  double value() {
    int size = (int) Math.min(count, values.length);
    if (size == 0) {
      return 0;
    }
    double[] sorted = Arrays.copyOf(values, size);
    Arrays.sort(sorted);
    return (sorted[(size - 1) / 2] + sorted[size / 2]) / 2;
  }
}
