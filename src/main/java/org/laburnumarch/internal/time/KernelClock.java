package org.laburnumarch.internal.time;

import com.sun.jna.Native;
import com.sun.jna.NativeLibrary;
import java.util.concurrent.TimeUnit;

/** A clock of the kernel that Java does not offer. Used on one thread only. */
public final class KernelClock {

  private final int number;

  /** The kernel's reading: seconds, and nanoseconds beyond them. */
  private final long[] reading = new long[2];

  /**
   * Creates a clock that may be missing.
   *
   * @param number number of the clock in the kernel's interface
   */
  public KernelClock(int number) {
    this.number = number;
  }

  /**
   * Returns the time in nanoseconds; -1 if there is no such clock.
   *
   * @throws LinkageError if functions of the C library cannot be called
   */
  public long readNs() {
    return LibC.clock_gettime(number, reading) == 0
        ? TimeUnit.SECONDS.toNanos(reading[0]) + reading[1]
        : -1;
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
