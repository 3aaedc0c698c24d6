package org.laburnumarch.internal.forecast;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Learns when the peaks of a pool recur, from the times of the last ones. Meant for peaks whose
 * period is unknown, drifts or jitters, stops or never existed. Every prediction is compared with
 * what happened, whether or not it was acted upon, and the confidence is the share of those that
 * were right. Not thread-safe; no I/O.
 */
final class Recurrence {

  /** Number of peaks that are kept. */
  static final int MAX_PEAKS = 6;

  /** Part of the period by which a peak may differ from its prediction to count as right. */
  private static final double HIT_FRACTION = 0.25;

  /** Part of the period that is assumed as the error before any prediction was compared. */
  private static final double INITIAL_ERROR_FRACTION = 0.1;

  /** Factor by which each comparison reduces the assumed error. */
  private static final double INITIAL_ERROR_RETAINED = 0.75;

  /** The largest of the last errors is exceeded now and then. */
  private static final double ERROR_MARGIN = 1.5;

  /** Smallest error that is assumed, because demand is sampled and averaged. */
  private static final long MIN_ERROR_MS = 300;

  private static final int MAX_ERRORS = 4;

  /** Levels above the median of the last peaks by more than this factor occurred once. */
  private static final double OUTLIER_FACTOR = 1.5;

  private static final int LEVELS = 3;

  /** Weights with which the last peaks predict the next one. */
  private static final double[] PHASE_WEIGHTS = {0.5, 0.3, 0.2};

  /** Intervals that differ more from the period than this part of it predict nothing. */
  private static final double REGULAR_FRACTION = 0.35;

  /**
   * The predicted beginning of the next peak.
   *
   * @param atMs most likely time
   * @param errorMs largest error that is to be expected
   * @param periodMs length of the period
   */
  record Prediction(long atMs, long errorMs, long periodMs) {}

  private final Deque<Peak> peaks = new ArrayDeque<>();
  private final Deque<Long> errorsMs = new ArrayDeque<>();
  private HitRecord record = HitRecord.NONE;
  private Optional<Prediction> prediction = Optional.empty();

  /** Replaces the state by what an earlier owner has learnt. */
  void restore(List<Peak> earlierPeaks, List<Long> earlierErrorsMs, HitRecord earlierRecord) {
    peaks.addAll(earlierPeaks);
    errorsMs.addAll(earlierErrorsMs);
    record = earlierRecord;
    predict();
  }

  List<Peak> peaks() {
    return List.copyOf(peaks);
  }

  List<Long> errorsMs() {
    return List.copyOf(errorsMs);
  }

  HitRecord record() {
    return record;
  }

  Optional<Prediction> prediction() {
    return prediction;
  }

  /** Returns the outcome of the current prediction if a peak begins; empty without prediction. */
  Optional<Boolean> onBegun(Peak peak) {
    Optional<Boolean> outcome = Optional.empty();
    if (prediction.isPresent()) {
      long errorMs = peak.startMs() - prediction.get().atMs();
      boolean isHit = Math.abs(errorMs) <= HIT_FRACTION * prediction.get().periodMs();
      outcome = Optional.of(isHit);
      record = record.plus(isHit);
      if (isHit) {
        errorsMs.addLast(errorMs);
        if (errorsMs.size() > MAX_ERRORS) {
          errorsMs.removeFirst();
        }
      }
    }
    peaks.addLast(peak);
    if (peaks.size() > MAX_PEAKS) {
      peaks.removeFirst();
    }
    predict();
    return outcome;
  }

  /**
   * Replaces the newest peak by its state at its end. Earlier rises that were much smaller were no
   * peaks; what was predicted from them is forgotten.
   */
  void onEnded(Peak peak) {
    if (!peaks.isEmpty() && peaks.peekLast().startMs() == peak.startMs()) {
      peaks.removeLast();
    }
    double minLevel = PeakDetector.MIN_LEVEL_FRACTION * peak.level();
    if (peaks.removeIf(earlier -> earlier.level() < minLevel)) {
      record = HitRecord.NONE;
      errorsMs.clear();
    }
    peaks.addLast(peak);
    predict();
  }

  /** Records that the newest peak goes on after a pause in which the next one was not due. */
  boolean isContradictedBy(long nowMs) {
    boolean isContradicted =
        prediction.isPresent()
            && nowMs < prediction.get().atMs() - HIT_FRACTION * prediction.get().periodMs();
    if (isContradicted) {
      record = record.plus(false);
    }
    return isContradicted;
  }

  /** Forgets the newest peak, which has turned out to be none. */
  void removeLast() {
    peaks.pollLast();
    prediction = Optional.empty();
  }

  /** Returns true if the predicted peak has not come; the one after it is predicted then. */
  boolean isMissed(long nowMs) {
    if (prediction.isEmpty() || nowMs <= awaitedUntilMs()) {
      return false;
    }
    Prediction missed = prediction.get();
    record = record.plus(false);
    prediction =
        Optional.of(
            new Prediction(missed.atMs() + missed.periodMs(), missed.errorMs(), missed.periodMs()));
    return true;
  }

  /**
   * Returns the confidence in the prediction.
   *
   * @param prior share of first predictions that were right in all pools
   */
  double confidence(double prior) {
    if (prediction.isEmpty()) {
      return 0;
    }
    boolean isUntested = record.hits() + record.misses() == 0;
    if (isUntested && !lastPeaksResembleEachOther()) {
      return 0;
    }
    return record.rate(prior);
  }

  private boolean lastPeaksResembleEachOther() {
    List<Peak> all = new ArrayList<>(peaks);
    Peak newest = all.get(all.size() - 1);
    return newest.resembles(all.get(all.size() - 2));
  }

  /**
   * Returns the level to expect of a peak: the largest of the last ones without outliers.
   *
   * @param isUnderWay whether the newest peak is not over, so that its level is not known
   */
  int level(boolean isUnderWay) {
    int known = isUnderWay ? peaks.size() - 1 : peaks.size();
    int[] levels =
        peaks.stream()
            .limit(known)
            .skip(Math.max(0, known - LEVELS))
            .mapToInt(Peak::level)
            .sorted()
            .toArray();
    if (levels.length == 0) {
      return 0;
    }
    double limit = OUTLIER_FACTOR * levels[levels.length / 2];
    int level = levels[0];
    for (int candidate : levels) {
      if (candidate <= limit) {
        level = candidate;
      }
    }
    return level;
  }

  private void predict() {
    prediction = Optional.empty();
    List<Peak> all = new ArrayList<>(peaks);
    if (all.size() < 2) {
      return;
    }
    List<Long> intervalsMs = new ArrayList<>();
    for (int i = 1; i < all.size(); i++) {
      intervalsMs.add(all.get(i).intervalSince(all.get(i - 1)));
    }
    List<Long> sorted = new ArrayList<>(intervalsMs);
    sorted.sort(null);
    long periodMs = sorted.get((sorted.size() - 1) / 2);
    double sum = 0;
    double weights = 0;
    for (int back = 0; back < PHASE_WEIGHTS.length && back < all.size(); back++) {
      int index = all.size() - 1 - back;
      if (all.get(index).isStartKnown()) {
        sum += PHASE_WEIGHTS[back] * (all.get(index).startMs() + (back + 1) * periodMs);
        weights += PHASE_WEIGHTS[back];
      }
      boolean isRegular =
          index > 0
              && Math.abs(intervalsMs.get(index - 1) - periodMs) <= REGULAR_FRACTION * periodMs;
      if (!isRegular) {
        break;
      }
    }
    if (weights == 0) {
      return;
    }
    double errorMs =
        INITIAL_ERROR_FRACTION * periodMs * Math.pow(INITIAL_ERROR_RETAINED, errorsMs.size());
    for (long observedMs : errorsMs) {
      errorMs = Math.max(errorMs, ERROR_MARGIN * Math.abs(observedMs));
    }
    prediction =
        Optional.of(
            new Prediction(
                Math.round(sum / weights) + biasMs(),
                Math.max(MIN_ERROR_MS, Math.round(errorMs)),
                periodMs));
  }

  /**
   * Returns by how much the last predictions were early, or late if negative. It is 0 unless the
   * last two errors have the same sign, as they have while the period drifts.
   */
  private long biasMs() {
    List<Long> all = new ArrayList<>(errorsMs);
    if (all.size() < 2) {
      return 0;
    }
    long newest = all.get(all.size() - 1);
    long earlier = all.get(all.size() - 2);
    if (Long.signum(newest) != Long.signum(earlier)) {
      return 0;
    }
    return Math.abs(newest) < Math.abs(earlier) ? newest : earlier;
  }

  /** Returns until when the predicted peak may come and count as right. */
  private long awaitedUntilMs() {
    Prediction next = prediction.orElseThrow();
    return next.atMs() + Math.round(HIT_FRACTION * next.periodMs());
  }
}
