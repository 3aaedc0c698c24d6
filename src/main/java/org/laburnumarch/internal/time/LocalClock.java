package org.laburnumarch.internal.time;

import java.util.concurrent.TimeUnit;

/**
 * A local time that never goes back and counts time in which the instance was suspended.
 *
 * <p>The steady clock of a suspended instance stands still; the time of day does not. A time of day
 * that runs ahead of the steady clock by more than the tolerance is therefore taken as time passed.
 * Used on one thread only.
 */
public final class LocalClock {

  /** Difference that adjustments of the time of day may cause without a suspension. */
  private static final long TOLERANCE_MS = 400;

  private long steadyMs = steadyNowMs();
  private long epochMs = System.currentTimeMillis();
  private long nowMs = epochMs;

  /** Returns the local time in milliseconds. */
  public long nowMs() {
    long steadyPassedMs = steadyNowMs() - steadyMs;
    long epochPassedMs = System.currentTimeMillis() - epochMs;
    steadyMs += steadyPassedMs;
    epochMs += epochPassedMs;
    nowMs += epochPassedMs > steadyPassedMs + TOLERANCE_MS ? epochPassedMs : steadyPassedMs;
    return nowMs;
  }

  /** Returns the time of day in Unix milliseconds. */
  public long epochMs() {
    return System.currentTimeMillis();
  }

  private static long steadyNowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
