package org.laburnumarch.internal.time;

/**
 * A clock that never goes back. Its origin is arbitrary: only differences are meaningful.
 *
 * <p>All deadlines inside a daemon are instants of this clock, so that adjustments of the wall
 * clock change no decision.
 */
@FunctionalInterface
public interface MonotonicClock {

  /** Returns the current instant in milliseconds. */
  long nowMs();

  /**
   * Returns the operating system's monotonic clock. It advances while the process is paused, but
   * not while the instance is suspended; {@link SuspendAwareClock} does both.
   */
  static MonotonicClock system() {
    return () -> System.nanoTime() / 1_000_000L;
  }
}
