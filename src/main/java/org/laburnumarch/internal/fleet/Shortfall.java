package org.laburnumarch.internal.fleet;

import java.util.Arrays;

/**
 * Number of missing instances at each {@link CapacityLevel}, summed over the pools.
 *
 * <p>Compared level by level, the most urgent first. Every planned move reduces the shortfall,
 * which cannot go below zero, so moves end if nothing else changes.
 */
public final class Shortfall implements Comparable<Shortfall> {
  private final int[] counts;

  Shortfall(int... counts) {
    this.counts = counts.clone();
  }

  /** Returns how many instances are missing at a level. */
  public int count(CapacityLevel level) {
    return counts[level.index()];
  }

  /** Returns whether the ordinary load survives the loss of any one data centre or rack. */
  public boolean isSurvivable() {
    return count(CapacityLevel.SHARED_BUFFER) == 0
        && count(CapacityLevel.RACK_LOSS) == 0
        && !isUrgent();
  }

  /** Returns whether the shortfall affects work now. */
  public boolean isUrgent() {
    return count(CapacityLevel.BUDGET) > 0 || count(CapacityLevel.ORDINARY_LOAD) > 0;
  }

  @Override
  public int compareTo(Shortfall other) {
    return Arrays.compare(counts, other.counts);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Shortfall that && Arrays.equals(counts, that.counts);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(counts);
  }

  @Override
  public String toString() {
    return Arrays.toString(counts);
  }
}
