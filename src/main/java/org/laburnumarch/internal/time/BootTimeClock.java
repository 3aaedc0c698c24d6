package org.laburnumarch.internal.time;

import com.sun.jna.Native;
import com.sun.jna.NativeLibrary;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * The kernel's clock of the time since the instance was booted. It goes on while the instance is
 * suspended, and nobody can set it. Java has no clock of this kind. Used on one thread only.
 */
final class BootTimeClock implements MonotonicClock {

  /** Number of {@code CLOCK_BOOTTIME} in the kernel's interface. */
  private static final int CLOCK_BOOTTIME = 7;

  /** The kernel's reading: seconds, and nanoseconds beyond them. */
  private final long[] reading = new long[2];

  private BootTimeClock() {}

  /**
   * Returns the clock, or the monotonic clock on operating systems without it. The monotonic clock
   * does not show how long the instance was suspended.
   */
  static MonotonicClock openOrMonotonic() {
    try {
      BootTimeClock clock = new BootTimeClock();
      if (LibC.clock_gettime(CLOCK_BOOTTIME, clock.reading) == 0) {
        return clock;
      }
    } catch (LinkageError e) {
      Logger.debug(e);
    }
    Logger.warn("time: event=no-boot-time-clock effect=\"suspensions of the instance go unseen\"");
    return MonotonicClock.system();
  }

  @Override
  public long nowMs() {
    if (LibC.clock_gettime(CLOCK_BOOTTIME, reading) != 0) {
      throw new IllegalStateException("the boot time clock cannot be read");
    }
    return TimeUnit.SECONDS.toMillis(reading[0]) + TimeUnit.NANOSECONDS.toMillis(reading[1]);
  }

  /** The function of the C library. */
  private static final class LibC {

    static {
      Native.register(LibC.class, NativeLibrary.getProcess());
    }

    private LibC() {}

    @SuppressWarnings("MemberName")
    static native int clock_gettime(int clock, long[] time);
  }
}
