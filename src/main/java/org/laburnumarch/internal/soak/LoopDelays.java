package org.laburnumarch.internal.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.time.SuspendAwareClock;

/**
 * Measures how late an event loop runs its timers, so that a slow caller can be told from a slow
 * daemon. Used on the event loop's thread only.
 */
final class LoopDelays implements AutoCloseable {

  private static final long SAMPLE_INTERVAL_MS = 20;
  private static final long RETENTION_MS = 10_000;

  private record Delay(long endedAtMs, long durationMs) {}

  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private final Deque<Delay> delays = new ArrayDeque<>();
  private long sampleDueAtMs;
  private boolean isClosed;

  LoopDelays(EventLoopThread loop, SuspendAwareClock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  void start() {
    sampleDueAtMs = clock.nowMs() + SAMPLE_INTERVAL_MS;
    loop.schedule(SAMPLE_INTERVAL_MS, this::sample);
  }

  private void sample() {
    if (isClosed) {
      return;
    }
    long nowMs = clock.nowMs();
    delays.add(new Delay(nowMs, nowMs - sampleDueAtMs));
    while (delays.peek().endedAtMs() < nowMs - RETENTION_MS) {
      delays.remove();
    }
    start();
  }

  /** Returns the longest delay that has ended since a time or is not over, in milliseconds. */
  long longestSinceMs(long sinceMs) {
    long currentMs = Math.max(0, clock.nowMs() - sampleDueAtMs);
    return delays.stream()
        .filter(delay -> delay.endedAtMs() >= sinceMs)
        .mapToLong(Delay::durationMs)
        .reduce(currentMs, Math::max);
  }

  /** Ends the measurement. */
  @Override
  public void close() {
    isClosed = true;
  }
}
