package org.laburnumarch.internal.schedule;

import java.util.HashMap;
import java.util.Map;
import org.laburnumarch.internal.job.StepSpec;

/**
 * Corrects callers' estimates of run times by the measured ratio of actual to estimated time, per
 * queue.
 */
final class RunTimeEstimator {

  private static final double NEWEST_RUN_WEIGHT = 0.05;
  private static final double MIN_RATIO = 0.3;
  private static final double MAX_RATIO = 4;

  private final Map<String, Double> ratiosByQueue = new HashMap<>();

  /** Returns the expected run time in milliseconds of a task near its data on a healthy worker. */
  double expectedMs(String queue, StepSpec step) {
    return Math.max(1, step.estimatedRunMs()) * ratiosByQueue.getOrDefault(queue, 1.0);
  }

  void addSample(String queue, StepSpec step, long ranMs) {
    double ratio = (double) ranMs / Math.max(1, step.estimatedRunMs());
    double bounded = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
    ratiosByQueue.merge(queue, bounded, (old, now) -> old + NEWEST_RUN_WEIGHT * (now - old));
  }
}
