package org.laburnumarch.internal.time;

import java.util.function.LongSupplier;

/**
 * A local clock that never goes back and includes the time during which the instance was suspended.
 *
 * <p>It does not follow the wall clock, which may be set at any time, in either direction: leases
 * of workers and the authority of an owner are measured by this clock, and must neither be cut
 * short nor prolonged by that. Used on one thread only.
 */
public final class SuspendAwareClock {

  private final MonotonicClock elapsed;
  private final LongSupplier wallClock;
  private final long originMs;

  /** Creates a clock of the operating system. */
  public SuspendAwareClock() {
    this(BootTimeClock.openOrMonotonic(), System::currentTimeMillis);
  }

  /**
   * Creates a clock.
   *
   * @param elapsed measures the time that has passed, suspensions included
   * @param wallClock returns the time of day in Unix milliseconds
   */
  SuspendAwareClock(MonotonicClock elapsed, LongSupplier wallClock) {
    this.elapsed = elapsed;
    this.wallClock = wallClock;
    this.originMs = wallClock.getAsLong() - elapsed.nowMs();
  }

  /** Returns the current instant of this clock in milliseconds; only differences are meaningful. */
  public long nowMs() {
    return originMs + elapsed.nowMs();
  }

  /** Returns the wall clock in Unix milliseconds. */
  public long epochMs() {
    return wallClock.getAsLong();
  }
}
