package org.laburnumarch.internal.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.mockito.ArgumentMatchers.any;
import static org.mockito.ArgumentMatchers.anyLong;
import static org.mockito.Mockito.doAnswer;
import static org.mockito.Mockito.mock;
import static org.mockito.Mockito.when;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.time.SuspendAwareClock;

/** Tests which delays of an event loop are taken into account, in virtual time. */
class LoopDelaysTest {

  private static final long START_MS = 1_000;
  private static final long DELAY_MS = 500;

  private final EventLoopThread loop = mock(EventLoopThread.class);
  private final SuspendAwareClock clock = mock(SuspendAwareClock.class);
  private final Deque<Runnable> timers = new ArrayDeque<>();
  private final LoopDelays delays = new LoopDelays(loop, clock);
  private long nowMs = START_MS;
  private long timerDueAtMs;

  @BeforeEach
  void startOnAnIdleLoop() {
    when(clock.nowMs()).thenAnswer(call -> nowMs);
    doAnswer(
            call -> {
              timerDueAtMs = nowMs + call.<Long>getArgument(0);
              return timers.add(call.getArgument(1));
            })
        .when(loop)
        .schedule(anyLong(), any());
    delays.start();
  }

  private void runTimerLate(long delayMs) {
    nowMs = timerDueAtMs + delayMs;
    timers.remove().run();
  }

  /** Guards against a delay that is missed because sockets are handled before timers. */
  @Test
  void shouldIncludeADelayThatIsNotOver() {
    nowMs = timerDueAtMs + DELAY_MS;
    assertThat(delays.longestSinceMs(START_MS)).isEqualTo(DELAY_MS);
  }

  @Test
  void shouldIncludeADelayThatIsOver() {
    runTimerLate(DELAY_MS);
    runTimerLate(0);
    assertThat(delays.longestSinceMs(START_MS)).isEqualTo(DELAY_MS);
  }

  /** Guards against requests that are taken for late because of a delay before they were sent. */
  @Test
  void shouldIgnoreAnEarlierDelay() {
    runTimerLate(DELAY_MS);
    runTimerLate(0);
    assertThat(delays.longestSinceMs(nowMs)).isZero();
  }
}
