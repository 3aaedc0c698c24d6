package org.laburnumarch.internal.cli;

import java.io.PrintStream;
import org.laburnumarch.internal.time.MonotonicClock;

/**
 * Output streams and clock of a command.
 *
 * @param out for results
 * @param err for faults and progress
 * @param clock measures time and waits between two polls
 */
record CommandContext(PrintStream out, PrintStream err, Clock clock) {

  /** A clock that can wait; tests replace it so that they never sleep. */
  interface Clock extends MonotonicClock {

    /** Waits for a duration in milliseconds, or until the calling thread is interrupted. */
    void sleepMs(long durationMs);

    /** Returns a system clock that puts the calling thread to sleep. */
    static Clock ofCallingThread() {
      MonotonicClock clock = MonotonicClock.system();
      return new Clock() {
        @Override
        public long nowMs() {
          return clock.nowMs();
        }

        @Override
        public void sleepMs(long durationMs) {
          try {
            Thread.sleep(durationMs);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        }
      };
    }
  }
}
