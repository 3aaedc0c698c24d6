package org.laburnumarch.internal.experiment;

import java.util.Arrays;

/**
 * Weighted max-min fair allocation: capacity is divided by share, and what a team does not need
 * goes to the others.
 */
final class WeightedMaxMinFairness {

  private WeightedMaxMinFairness() {}

  /**
   * Returns the entitlement of each team.
   *
   * @param demands what each team could use at present
   */
  static double[] allocate(double capacity, double[] shares, double[] demands) {
    double[] entitlements = new double[shares.length];
    boolean[] isSettled = new boolean[shares.length];
    double remaining = capacity;
    boolean isChanged = true;
    while (isChanged) {
      double unsettledShares = 0;
      for (int i = 0; i < shares.length; i++) {
        unsettledShares += isSettled[i] ? 0 : shares[i];
      }
      isChanged = false;
      double perShare = unsettledShares > 0 ? remaining / unsettledShares : 0;
      for (int i = 0; i < shares.length; i++) {
        if (!isSettled[i] && demands[i] <= perShare * shares[i]) {
          entitlements[i] = demands[i];
          remaining -= demands[i];
          isSettled[i] = true;
          isChanged = true;
        }
      }
      if (!isChanged) {
        for (int i = 0; i < shares.length; i++) {
          entitlements[i] = isSettled[i] ? entitlements[i] : perShare * shares[i];
        }
      }
    }
    return Arrays.copyOf(entitlements, entitlements.length);
  }
}
