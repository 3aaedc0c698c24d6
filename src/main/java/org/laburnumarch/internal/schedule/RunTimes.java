package org.laburnumarch.internal.schedule;

import java.util.HashMap;
import java.util.Map;
import org.laburnumarch.internal.job.StepSpec;

/** Learns how long tasks of each queue really run compared with what their callers estimate. */
final class RunTimes {

  private static final double WEIGHT = 0.05;
  private static final double LOWEST_RATIO = 0.3;
  private static final double HIGHEST_RATIO = 4;

  private final Map<String, Double> ratios = new HashMap<>();

  /** Returns the expected run time of a task near its data on a sound worker. */
  double expectedMs(String queue, StepSpec step) {
    return Math.max(1, step.estimatedRunMs()) * ratios.getOrDefault(queue, 1.0);
  }

  void note(String queue, StepSpec step, long ranMs) {
    double ratio = (double) ranMs / Math.max(1, step.estimatedRunMs());
    double bounded = Math.min(HIGHEST_RATIO, Math.max(LOWEST_RATIO, ratio));
    ratios.merge(queue, bounded, (old, now) -> old + WEIGHT * (now - old));
  }
}
