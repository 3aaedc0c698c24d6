package org.laburnumarch.internal.time;

import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * The kernel's clock of the time since the instance was booted. It goes on while the instance is
 * suspended, and nobody can set it. Java has no clock of this kind. Used on one thread only.
 */
final class BootTimeClock implements MonotonicClock {

  /** Number of {@code CLOCK_BOOTTIME} in the kernel's interface. */
  private static final int CLOCK_BOOTTIME = 7;

  private final KernelClock clock = new KernelClock(CLOCK_BOOTTIME);

  private BootTimeClock() {}

  /**
   * Returns the clock, or the monotonic clock on operating systems without it. The monotonic clock
   * does not show how long the instance was suspended.
   */
  static MonotonicClock openOrMonotonic() {
    try {
      BootTimeClock opened = new BootTimeClock();
      if (opened.clock.readNs() >= 0) {
        return opened;
      }
    } catch (LinkageError e) {
      Logger.debug(e);
    }
    Logger.warn("time: event=no-boot-time-clock effect=\"suspensions of the instance go unseen\"");
    return MonotonicClock.system();
  }

  @Override
  public long nowMs() {
    long readNs = clock.readNs();
    if (readNs < 0) {
      throw new IllegalStateException("the boot time clock cannot be read");
    }
    return TimeUnit.NANOSECONDS.toMillis(readNs);
  }
}
