package org.laburnumarch.internal.pacing;

/**
 * The shortest reply time of the last 5 to 10 s, so that the minimum follows a link or a worker
 * that has become slower for good.
 */
final class MinimumReplyTime {

  private static final long PERIOD_MS = 5_000;

  private long periodEndsAtMs = -1;
  private long currentMs = Long.MAX_VALUE;
  private long previousMs = Long.MAX_VALUE;

  /** Adds a sample; returns whether it began a new period, so that an old minimum was dropped. */
  boolean add(long replyMs, long nowMs) {
    boolean isNewPeriod = periodEndsAtMs >= 0 && nowMs >= periodEndsAtMs;
    if (isNewPeriod) {
      previousMs = currentMs;
      currentMs = Long.MAX_VALUE;
    }
    if (isNewPeriod || periodEndsAtMs < 0) {
      periodEndsAtMs = nowMs + PERIOD_MS;
    }
    currentMs = Math.min(currentMs, replyMs);
    return isNewPeriod;
  }

  /** Returns the minimum in milliseconds; 0 before the first sample. */
  long get() {
    long minimumMs = Math.min(currentMs, previousMs);
    return minimumMs == Long.MAX_VALUE ? 0 : minimumMs;
  }
}
