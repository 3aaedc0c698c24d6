package org.laburnumarch.internal.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Instance counts of one pool by failure domain. Mutable, so that candidate moves can be evaluated.
 */
final class PoolCapacity {
  private final String pool;
  private final int minAvailableCount;
  private final int neededCount;
  private final int[] byDataCentre;
  private final Map<String, Integer> byRack = new HashMap<>();
  private int availableCount;
  private int presentCount;

  PoolCapacity(String pool, int minAvailableCount, int neededCount, int dataCentreCount) {
    this.pool = pool;
    this.minAvailableCount = minAvailableCount;
    this.neededCount = neededCount;
    this.byDataCentre = new int[dataCentreCount];
  }

  String pool() {
    return pool;
  }

  int neededCount() {
    return neededCount;
  }

  /** Adds an instance, or removes it if {@code sign} is -1. */
  void add(CapacityInstance instance, int sign) {
    presentCount += sign;
    availableCount += instance.isAvailable() ? sign : 0;
    byDataCentre[instance.dataCentre()] += sign;
    byRack.merge(instance.rack(), sign, Integer::sum);
  }

  /** Returns whether the availability budget holds without one of the available instances. */
  boolean canReleaseInstance() {
    return availableCount > minAvailableCount;
  }

  int surplusCount() {
    return presentCount - neededCount;
  }

  int budgetShortCount() {
    return Math.max(0, minAvailableCount - availableCount);
  }

  int shortCount() {
    return Math.max(0, neededCount - presentCount);
  }

  int shortAfterRackLossCount() {
    int largest = 0;
    for (int count : byRack.values()) {
      largest = Math.max(largest, count);
    }
    return Math.max(0, neededCount - presentCount + largest);
  }

  /**
   * Returns the sum over the data centres of the shortage after the loss of each. The maximum would
   * hide progress: with six instances in three data centres, no single additional instance reduces
   * it.
   */
  int shortAfterDataCentreLossesCount() {
    int sum = 0;
    for (int dataCentre = 0; dataCentre < byDataCentre.length; dataCentre++) {
      sum += shortWithoutCount(dataCentre);
    }
    return sum;
  }

  /**
   * Returns the minimum number of instances to add so that the pool survives the loss of any rack.
   */
  int minAdditionsForRackLoss() {
    return shortAfterRackLossCount() == 0
        ? 0
        : Math.max(shortAfterRackLossCount(), neededCount + 1 - presentCount);
  }

  /**
   * Returns the minimum number of instances to add so that the pool survives the loss of any data
   * centre.
   */
  int minAdditionsForDataCentreLoss() {
    int largest = 0;
    for (int count : byDataCentre) {
      largest = Math.max(largest, count);
    }
    int added = 0;
    while (neededCount > 0
        && presentCount + added - Math.max(largest, evenShare(presentCount + added))
            < neededCount) {
      added++;
    }
    return added;
  }

  private int evenShare(int count) {
    return (count + byDataCentre.length - 1) / byDataCentre.length;
  }

  int shortWithoutCount(int dataCentre) {
    return Math.max(0, -surplusWithoutCount(dataCentre));
  }

  int surplusWithoutCount(int dataCentre) {
    return presentCount - byDataCentre[dataCentre] - neededCount;
  }
}
