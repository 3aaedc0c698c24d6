package org.laburnumarch.internal.runtime;

/**
 * The predicted run time of a task near its data on a worker of usual speed, in milliseconds.
 *
 * @param medianMs half of the runs are shorter
 * @param highMs nine of ten runs are shorter
 * @param tailMs time that even the rare long tasks of the kind hardly exceed
 * @param expectedMs the mean
 * @param runs number of finished runs of the kind that the prediction is based on
 * @param estimateWeight weight of the caller's estimate in the prediction, from 1 without any
 *     evidence to near 0
 */
public record RunTimePrediction(
    double medianMs,
    double highMs,
    double tailMs,
    double expectedMs,
    int runs,
    double estimateWeight) {

  /** Returns whether any finished run has contributed to the prediction. */
  public boolean hasEvidence() {
    return estimateWeight < 1;
  }
}
