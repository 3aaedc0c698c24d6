package org.laburnumarch.internal.forecast;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.laburnumarch.internal.forecast.Recurrence.Prediction;

/**
 * What is known about the demand for one pool. Not thread-safe; no I/O.
 *
 * <p>With a confident recurrence, a pool holds its peak's level from a round trip before the next
 * peak until the peak is overdue, and what it wants otherwise. Without, it holds the most that it
 * needed in the recent past. A pool without history holds what it has for that time, counted from
 * its first demand, so that it is not late at its first peak. If no demand comes for that time, it
 * holds a part that halves every two round trips, so that a pool that is never used is not held for
 * the whole day.
 */
final class PoolState {

  /**
   * Confidence from which a prediction is acted on. Two like peaks alone do not reach it; one
   * prediction that came true does. Acting on two peaks made pools late at the third.
   */
  private static final double MIN_CONFIDENCE_TO_BEGIN = 0.75;

  /**
   * Confidence below which predictions are no longer acted on. Lower than the other one, because a
   * pool that has released instances is late at its next peak if it stops acting in between.
   */
  private static final double MIN_CONFIDENCE = 0.62;

  /**
   * Idle instance-seconds that one instance-second of missing capacity counts for. Work that waits
   * for a move often finishes too late to be of use, while an idle instance only costs its time.
   */
  private static final double SHORTAGE_WEIGHT = 3;

  /** Number of round trips in which the instances of a pool without history are halved. */
  private static final int HALVING_ROUND_TRIPS = 2;

  /** Time after which a rise is recognised as a peak at the latest, as demand is averaged. */
  private static final long DETECTION_MS = 1_000;

  /** Time after a peak for which its level is the usual one. Afterwards, smaller peaks count. */
  private static final long USUAL_LEVEL_MS = 120_000;

  private final MoveTimes times;
  private final PeakDetector detector;
  private final Recurrence recurrence = new Recurrence();
  private final RecentDemand recent;

  private record Sample(long atMs, int wanted) {}

  /** Demand outside peaks. */
  private final RecentDemand quiet;

  /** Demand that may turn out to be the beginning of a peak. */
  private final Deque<Sample> undecided = new ArrayDeque<>();

  private final long keepAllUntilMs;
  private final int initialInstances;
  private boolean isInitial = true;

  /** Whether predictions are acted on. */
  private boolean isActing;

  /** When short tasks first wanted instances; -1 if they have not. */
  private long firstBatchDemandAtMs = -1;

  /**
   * Creates a state without history.
   *
   * @param initialInstances what the pool has now
   * @param keepAllUntilMs time until which all instances are kept
   */
  PoolState(MoveTimes times, int initialInstances, long keepAllUntilMs) {
    this.times = times;
    this.detector = new PeakDetector(times.roundTripMs());
    this.recent = new RecentDemand(times.reactiveHoldMs());
    this.quiet = new RecentDemand(times.reactiveHoldMs());
    this.initialInstances = initialInstances;
    this.keepAllUntilMs = keepAllUntilMs;
  }

  /** Continues with what an earlier owner has learnt. */
  void restore(List<Peak> peaks, List<Long> errorsMs, HitRecord record) {
    recurrence.restore(peaks, errorsMs, record);
    if (!peaks.isEmpty()) {
      detector.restore(peaks.get(peaks.size() - 1));
    }
  }

  Recurrence recurrence() {
    return recurrence;
  }

  /**
   * Records the demand and returns the outcome of a prediction, if one is known now.
   *
   * @param hasBatchDemand whether short tasks want any instances
   */
  Optional<Boolean> update(int wanted, boolean hasBatchDemand, long nowMs) {
    if (hasBatchDemand && firstBatchDemandAtMs < 0) {
      firstBatchDemandAtMs = nowMs;
    }
    double average = recent.record(wanted, nowMs);
    Optional<Boolean> outcome = Optional.empty();
    long lastEndMs = detector.last().map(Peak::endMs).orElse(0L);
    switch (detector.update(average, usualLevel(nowMs), nowMs)) {
      case BEGUN -> outcome = recurrence.onBegun(detector.last().orElseThrow());
      case ENDED -> {
        recurrence.onEnded(detector.last().orElseThrow());
      }
      case LEVEL_CHANGED -> recurrence.removeLast();
      case RESUMED -> {
        if (nowMs - lastEndMs > times.leadMs() / 2 && recurrence.isContradictedBy(nowMs)) {
          outcome = Optional.of(false);
        }
      }
      case NONE -> {
        if (!detector.isInPeak() && recurrence.isMissed(nowMs)) {
          outcome = Optional.of(false);
        }
      }
    }
    recordOutsidePeaks(wanted, lastEndMs, nowMs);
    return outcome;
  }

  private void recordOutsidePeaks(int wanted, long lastEndMs, long nowMs) {
    if (detector.isInPeak()) {
      undecided.clear();
    } else if (nowMs - lastEndMs > times.leadMs() / 2) {
      // Before, the demand may still fall after a peak.
      undecided.addLast(new Sample(nowMs, wanted));
    }
    while (!undecided.isEmpty() && nowMs - undecided.peekFirst().atMs() > DETECTION_MS) {
      Sample sample = undecided.removeFirst();
      quiet.record(sample.wanted(), sample.atMs());
    }
  }

  /**
   * Returns the forecast.
   *
   * @param prior share of first predictions that were right in all pools
   */
  PoolForecast forecast(int wanted, int present, double prior, long nowMs) {
    double confidence = recurrence.confidence(prior);
    isActing = confidence >= (isActing ? MIN_CONFIDENCE : MIN_CONFIDENCE_TO_BEGIN);
    Optional<Prediction> prediction = recurrence.prediction();
    int ahead = wanted;
    int soon = wanted;
    int hold = wanted;
    if (detector.isInPeak()) {
      hold = Math.max(hold, detector.last().orElseThrow().level());
    }
    if (isActing && detector.isInPeak()) {
      hold = Math.max(hold, recurrence.level(true));
    } else if (isActing) {
      Prediction next = prediction.orElseThrow();
      long earliestMs = next.atMs() - next.errorMs();
      if (nowMs >= earliestMs - times.leadMs()) {
        ahead = Math.max(ahead, recurrence.level(false));
      }
      if (nowMs >= earliestMs - times.roundTripMs()) {
        soon = Math.max(ahead, recurrence.level(false));
      }
      hold = Math.max(soon, quiet.max());
    }
    if (!isReleaseWorthwhile(confidence)) {
      hold = Math.max(hold, recentLevel(nowMs));
    }
    hold = Math.max(hold, initialHold(wanted, present, nowMs));
    OptionalLong nextPeakAtMs =
        prediction.map(next -> OptionalLong.of(next.atMs())).orElse(OptionalLong.empty());
    return new PoolForecast(wanted, ahead, soon, hold, nextPeakAtMs, confidence);
  }

  /**
   * Returns whether the idle time that is saved until the next peak outweighs the risk of being
   * late because the peak comes earlier than predicted.
   */
  private boolean isReleaseWorthwhile(double confidence) {
    if (!isActing) {
      return false;
    }
    Prediction next = recurrence.prediction().orElseThrow();
    long savedMs =
        next.atMs() - next.errorMs() - times.roundTripMs() - detector.last().orElseThrow().endMs();
    return confidence * savedMs >= (1 - confidence) * SHORTAGE_WEIGHT * times.leadMs();
  }

  /**
   * Returns the level of the peaks that matter: that of the last ones, or half of the size that the
   * pool was given.
   */
  private double usualLevel(long nowMs) {
    Optional<Peak> last = detector.last();
    boolean isRecent = last.isPresent() && nowMs - last.get().endMs() <= USUAL_LEVEL_MS;
    return Math.max(initialInstances / 2.0, isRecent ? recurrence.level(false) : 0);
  }

  /** Returns the most that was needed in the recent past, by this owner or an earlier one. */
  private int recentLevel(long nowMs) {
    int level = recent.max();
    Optional<Peak> last = detector.last();
    if (last.isPresent() && nowMs - last.get().endMs() <= times.reactiveHoldMs()) {
      level = Math.max(level, last.get().level());
    }
    return level;
  }

  /** Returns how many instances a pool without history holds. */
  private int initialHold(int wanted, int present, long nowMs) {
    if (nowMs <= keepAllUntilMs) {
      return present;
    }
    boolean hasDemand = firstBatchDemandAtMs >= 0;
    boolean isObserved = hasDemand && nowMs - firstBatchDemandAtMs > times.reactiveHoldMs();
    if (!isInitial || isObserved || initialInstances <= wanted) {
      isInitial = false;
      return 0;
    }
    if (hasDemand) {
      return present;
    }
    double halvings =
        (double) (nowMs - keepAllUntilMs) / (HALVING_ROUND_TRIPS * times.roundTripMs());
    return wanted + (int) Math.ceil((initialInstances - wanted) * Math.pow(0.5, halvings) - 0.5);
  }
}
