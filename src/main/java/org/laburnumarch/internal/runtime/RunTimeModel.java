package org.laburnumarch.internal.runtime;

/**
 * The distribution of run times of one group of tasks. The centre is a line in the logarithm of the
 * caller's estimate: its slope is near 1 where the estimates of the group tell its tasks apart, and
 * near 0 where they are noise around one run time. What remains is kept as histograms of the errors
 * of the centre at the time of each run, so that their quantiles include the centre's own
 * uncertainty.
 */
final class RunTimeModel {

  /**
   * Number of runs over which the centre is averaged. A change is followed within three times as
   * many runs, 5 s at 20 runs a second.
   */
  private static final int CENTRE_MEMORY_RUNS = 32;

  private static final int RECENT_MEMORY_RUNS = 40;

  /** Memory of the tail; long enough to contain several of the runs that make up 1%. */
  private static final int TAIL_MEMORY_RUNS = 1_000;

  /** Quantile that the rare long tasks of a kind must not exceed; see {@link #tailOffset}. */
  private static final double TAIL_QUANTILE = 0.995;

  static final double HIGH_QUANTILE = 0.9;

  /** Weight of slope 1 against the measured slope, in squared logarithms. */
  private static final double SLOPE_PRIOR = 0.02;

  private static final double SLOPE_PRIOR_RUNS = 2;
  private static final int MAX_RUNS = 1_000_000;

  /** Largest number of runs that an earlier owner's evidence counts as. */
  private static final int MAX_RESTORED_RUNS = 50;

  /** Change of a quantile, as a logarithm, from which on the stored record is out of date. */
  private static final double STORED_TOLERANCE = 0.25;

  private int runs;
  private double meanLogEstimate;
  private double meanLogMs;
  private double variance;
  private double covariance;
  private final LogHistogram recent = new LogHistogram(RECENT_MEMORY_RUNS);
  private final LogHistogram tail = new LogHistogram(TAIL_MEMORY_RUNS);
  private double medianOffset;
  private double highOffset;
  private double tailOffset;
  private double meanOffset;
  private int storedRuns;
  private double storedMedian;
  private double storedHigh;

  /** Quantiles of the errors, as stored; the first array is of the recent runs. */
  @SuppressWarnings("ArrayRecordComponent")
  record Stored(
      int runs,
      double meanLogEstimate,
      double meanLogMs,
      double variance,
      double covariance,
      double[] recentKnots,
      double[] tailKnots) {}

  /** Probabilities of the stored quantiles. */
  private static final double[] KNOTS = {0.02, 0.1, 0.25, 0.5, 0.75, 0.9, 0.96, 0.99, 0.995, 1};

  int runs() {
    return runs;
  }

  /** Returns the centre for an estimate, as a logarithm of milliseconds. */
  double centre(double logEstimate) {
    return meanLogMs + slope() * (logEstimate - meanLogEstimate);
  }

  private double slope() {
    double prior = SLOPE_PRIOR + SLOPE_PRIOR_RUNS / Math.max(1, runs);
    return Math.max(0, Math.min(1, (covariance + prior) / (variance + prior)));
  }

  double medianOffset() {
    return medianOffset;
  }

  double highOffset() {
    return highOffset;
  }

  /** Returns how far above the centre the rare long tasks of the group are. */
  double tailOffset() {
    return tailOffset;
  }

  double meanOffset() {
    return meanOffset;
  }

  /** Adds a finished run. */
  void add(double logEstimate, double logMs) {
    double error = runs == 0 ? 0 : logMs - centre(logEstimate);
    recent.add(error);
    tail.add(error);
    runs = Math.min(MAX_RUNS, runs + 1);
    double weight = newestWeight();
    double estimateChange = logEstimate - meanLogEstimate;
    double change = logMs - meanLogMs;
    meanLogEstimate += weight * estimateChange;
    meanLogMs += weight * change;
    variance = (1 - weight) * (variance + weight * estimateChange * estimateChange);
    covariance = (1 - weight) * (covariance + weight * estimateChange * change);
    updateOffsets();
  }

  /**
   * Adds a run that was ended by other causes, so that its time is a lower bound. A bound below the
   * median says next to nothing and is ignored.
   */
  void addBound(double logEstimate, double logMs) {
    double error = logMs - centre(logEstimate);
    if (runs == 0 || error <= medianOffset) {
      return;
    }
    recent.addAbove(error);
    tail.addAbove(error);
    meanLogMs += newestWeight() * error;
    updateOffsets();
  }

  private double newestWeight() {
    return Math.max(1.0 / CENTRE_MEMORY_RUNS, 1.0 / runs);
  }

  private void updateOffsets() {
    medianOffset = recent.quantile(0.5);
    highOffset = recent.quantile(HIGH_QUANTILE);
    tailOffset = Math.max(highOffset, tail.quantile(TAIL_QUANTILE));
    meanOffset = tail.logMeanExp();
  }

  /** Returns whether what was last stored differs noticeably from the present state. */
  boolean hasChanged() {
    return runs >= 2 * Math.max(2, storedRuns)
        || (runs > storedRuns
            && (Math.abs(meanLogMs + medianOffset - storedMedian) > STORED_TOLERANCE
                || Math.abs(meanLogMs + highOffset - storedHigh) > STORED_TOLERANCE));
  }

  Stored store() {
    storedRuns = runs;
    storedMedian = meanLogMs + medianOffset;
    storedHigh = meanLogMs + highOffset;
    return new Stored(
        runs, meanLogEstimate, meanLogMs, variance, covariance, knots(recent), knots(tail));
  }

  private static double[] knots(LogHistogram histogram) {
    double[] values = new double[KNOTS.length];
    for (int i = 0; i < KNOTS.length; i++) {
      values[i] = histogram.quantile(KNOTS[i]);
    }
    return values;
  }

  /** Creates a model from what an earlier owner stored. */
  static RunTimeModel restore(Stored stored) {
    RunTimeModel model = new RunTimeModel();
    // Newer runs soon outweigh evidence whose age is unknown.
    model.runs = Math.min(MAX_RESTORED_RUNS, stored.runs());
    model.meanLogEstimate = stored.meanLogEstimate();
    model.meanLogMs = stored.meanLogMs();
    model.variance = Math.max(0, stored.variance());
    model.covariance = stored.covariance();
    model.recent.restore(spread(stored.recentKnots()), Math.min(RECENT_MEMORY_RUNS, model.runs));
    model.tail.restore(spread(stored.tailKnots()), Math.min(TAIL_MEMORY_RUNS, stored.runs()));
    model.updateOffsets();
    model.storedRuns = model.runs;
    model.storedMedian = model.meanLogMs + model.medianOffset;
    model.storedHigh = model.meanLogMs + model.highOffset;
    return model;
  }

  /** Returns equally likely values with the given quantiles. */
  private static double[] spread(double[] knots) {
    double[] values = new double[400];
    int knot = 0;
    for (int i = 0; i < values.length; i++) {
      double probability = (i + 0.5) / values.length;
      while (knot < KNOTS.length - 1 && KNOTS[knot] < probability) {
        knot++;
      }
      if (knot == 0) {
        values[i] = knots[0];
      } else {
        double part = (probability - KNOTS[knot - 1]) / (KNOTS[knot] - KNOTS[knot - 1]);
        values[i] = knots[knot - 1] + part * (knots[knot] - knots[knot - 1]);
      }
    }
    return values;
  }
}
