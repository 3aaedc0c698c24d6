package org.laburnumarch.internal.pacing;

/** Limits on the start orders that may be sent, and on how often workers are asked for reports. */
public interface StartLimits {

  /**
   * Number of starts that a worker is sent at the same time until its replies show that it takes
   * more or fewer. Each order in flight uses a connection of its own.
   */
  int INITIAL_STARTS_PER_WORKER = 4;

  /** Limits that do not depend on replies, for callers that send no orders over a network. */
  StartLimits FIXED =
      new StartLimits() {
        @Override
        public int startsAllowed(long nowMs) {
          return Integer.MAX_VALUE;
        }

        @Override
        public int startLimit() {
          return Integer.MAX_VALUE;
        }

        @Override
        public int startsInFlightAllowed(String workerId) {
          return INITIAL_STARTS_PER_WORKER;
        }

        @Override
        public long reportIntervalMs(long leastMs, long mostMs, long nowMs) {
          return leastMs;
        }

        @Override
        public void onStartsHeld() {
          // Nothing is measured.
        }
      };

  /** Returns how many starts may be sent now over the whole link. */
  int startsAllowed(long nowMs);

  /** Returns how many starts may be in flight over the whole link. */
  int startLimit();

  /** Returns how many starts may be in flight to one worker. */
  int startsInFlightAllowed(String workerId);

  /**
   * Returns the minimum time between two reports of a worker.
   *
   * @param leastMs the interval while reply times are near their minimum, in milliseconds
   * @param mostMs the interval at full pressure, in milliseconds
   */
  long reportIntervalMs(long leastMs, long mostMs, long nowMs);

  /** Records that a task that has a worker is not started because of the limit of the link. */
  void onStartsHeld();
}
