package org.laburnumarch.internal.time;

import java.util.concurrent.TimeUnit;

/**
 * A local clock that never goes back and includes the time during which the instance was suspended.
 *
 * <p>The monotonic clock of a suspended instance stops; the wall clock does not. If the wall clock
 * has advanced further than the monotonic clock since the last reading, by more than the tolerance,
 * its advance counts as the elapsed time. Used on one thread only.
 */
public final class SuspendAwareClock {

  /** Difference that adjustments of the wall clock may cause without a suspension. */
  private static final long TOLERANCE_MS = 400;

  private long monotonicMs = monotonicNowMs();
  private long epochMs = System.currentTimeMillis();
  private long nowMs = epochMs;

  /** Returns the current instant of this clock in milliseconds; only differences are meaningful. */
  public long nowMs() {
    long monotonicPassedMs = monotonicNowMs() - monotonicMs;
    long epochPassedMs = System.currentTimeMillis() - epochMs;
    monotonicMs += monotonicPassedMs;
    epochMs += epochPassedMs;
    nowMs += epochPassedMs > monotonicPassedMs + TOLERANCE_MS ? epochPassedMs : monotonicPassedMs;
    return nowMs;
  }

  /** Returns the wall clock in Unix milliseconds. */
  public long epochMs() {
    return System.currentTimeMillis();
  }

  private static long monotonicNowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
