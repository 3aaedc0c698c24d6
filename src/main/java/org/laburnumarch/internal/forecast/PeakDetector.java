package org.laburnumarch.internal.forecast;

import java.util.Optional;

/**
 * Finds the beginning and the end of each peak in the demand for a pool. Meant for demand that
 * rises to a multiple of its base within seconds, and whose base drifts. Not thread-safe; no I/O.
 */
final class PeakDetector {

  /** A rise counts as a peak if the demand exceeds its base by this fraction of the base. */
  private static final double RISE_FRACTION = 0.5;

  /** Smallest rise in instances that counts as a peak. */
  private static final double MIN_RISE = 2;

  /**
   * Part of the usual level of peaks by which the demand must rise. Otherwise, single jobs between
   * the peaks are taken for peaks, and no prediction comes true.
   */
  static final double MIN_LEVEL_FRACTION = 0.25;

  /** A peak has ended when the demand is below this fraction of its height above the base. */
  private static final double END_FRACTION = 0.4;

  /** Time constants with which the base follows demand that is higher or lower. */
  private static final double BASE_RISE_MS = 5_000;

  private static final double BASE_FALL_MS = 500;

  /** A rise that lasts longer is a new base. */
  private static final long MAX_PEAK_MS = 120_000;

  private final long mergeGapMs;
  private Optional<Peak> last = Optional.empty();
  private double base = -1;
  private double first;
  private double lastBase;
  private boolean isInPeak;
  private boolean hasFallen;
  private long firstAtMs;
  private long updatedAtMs;

  /**
   * Creates a detector.
   *
   * @param mergeGapMs a rise within this time after a peak continues the peak
   */
  PeakDetector(long mergeGapMs) {
    this.mergeGapMs = mergeGapMs;
  }

  /** What has changed. */
  enum Event {
    NONE,
    BEGUN,
    ENDED,
    /** The last peak has turned out not to be over. */
    RESUMED,
    /** The last peak was none: the demand stays high. */
    LEVEL_CHANGED
  }

  /** Sets the last peak that an earlier owner has seen. */
  void restore(Peak peak) {
    last = Optional.of(peak);
    hasFallen = true;
  }

  boolean isInPeak() {
    return isInPeak;
  }

  /** Returns the current peak up to now, or else the last one. */
  Optional<Peak> last() {
    return last;
  }

  /**
   * Records the demand.
   *
   * @param demand wanted instances, averaged so that single samples don't matter
   * @param usualLevel level of the peaks that matter, as far as it is known
   */
  Event update(double demand, double usualLevel, long nowMs) {
    if (base < 0) {
      base = demand;
      first = demand;
      firstAtMs = nowMs;
    }
    long elapsedMs = nowMs - updatedAtMs;
    updatedAtMs = nowMs;
    return isInPeak
        ? duringPeak(demand, nowMs)
        : outsidePeak(
            demand, Math.max(MIN_RISE, MIN_LEVEL_FRACTION * usualLevel), elapsedMs, nowMs);
  }

  private Event duringPeak(double demand, long nowMs) {
    Peak peak = last.orElseThrow();
    int level = Math.max(peak.level(), (int) Math.ceil(demand));
    last = Optional.of(new Peak(peak.startMs(), nowMs, level, peak.isStartKnown()));
    if (demand < base + END_FRACTION * (level - base)) {
      isInPeak = false;
      lastBase = base;
      base = demand;
      return Event.ENDED;
    }
    if (nowMs - peak.startMs() > MAX_PEAK_MS) {
      isInPeak = false;
      last = Optional.empty();
      base = demand;
      return Event.LEVEL_CHANGED;
    }
    return Event.NONE;
  }

  private Event outsidePeak(double demand, double minRise, long elapsedMs, long nowMs) {
    if (demand > base + Math.max(minRise, RISE_FRACTION * base)) {
      isInPeak = true;
      hasFallen = true;
      if (last.isPresent() && nowMs - last.get().endMs() < mergeGapMs) {
        base = Math.min(base, Math.max(lastBase, 0));
        return Event.RESUMED;
      }
      last = Optional.of(new Peak(nowMs, nowMs, (int) Math.ceil(demand), true));
      return Event.BEGUN;
    }
    if (!hasFallen && first > demand + Math.max(minRise, RISE_FRACTION * demand)) {
      // The demand was high from the beginning, so a peak was under way.
      hasFallen = true;
      last = Optional.of(new Peak(firstAtMs, nowMs, (int) Math.ceil(first), false));
      base = demand;
      return Event.ENDED;
    }
    double timeMs = demand > base ? BASE_RISE_MS : BASE_FALL_MS;
    base += (demand - base) * Math.min(1, elapsedMs / timeMs);
    if (!hasFallen) {
      first = Math.max(first, demand);
    }
    return Event.NONE;
  }
}
