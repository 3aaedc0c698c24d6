package org.laburnumarch.internal.forecast;

/**
 * A time of high demand.
 *
 * @param startMs when it began
 * @param endMs when it ended, or when it was last seen
 * @param level largest number of instances that were wanted, as an average over a second
 * @param isStartKnown false if it was under way already when the demand was first seen
 */
record Peak(long startMs, long endMs, int level, boolean isStartKnown) {

  private static final double MIN_LEVEL_RATIO = 0.6;
  private static final double MIN_DURATION_RATIO = 0.5;

  /** Returns this peak with its times moved, for example to another clock. */
  Peak shifted(long byMs) {
    return new Peak(startMs + byMs, endMs + byMs, level, isStartKnown);
  }

  /**
   * Returns the time from an earlier peak to this one. The ends are compared if the start of the
   * earlier one is not known.
   */
  long intervalSince(Peak earlier) {
    return earlier.isStartKnown ? startMs - earlier.startMs : endMs - earlier.endMs;
  }

  /** Returns whether two peaks have about the same level and length. */
  boolean resembles(Peak other) {
    double levels = (double) Math.min(level, other.level) / Math.max(level, other.level);
    long lengthMs = endMs - startMs;
    long otherLengthMs = other.endMs - other.startMs;
    boolean isLengthKnown = isStartKnown && other.isStartKnown;
    double lengths =
        (double) Math.min(lengthMs, otherLengthMs) / Math.max(1, Math.max(lengthMs, otherLengthMs));
    return levels >= MIN_LEVEL_RATIO && (!isLengthKnown || lengths >= MIN_DURATION_RATIO);
  }
}
