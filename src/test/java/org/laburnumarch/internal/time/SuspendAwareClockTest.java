package org.laburnumarch.internal.time;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SuspendAwareClockTest {

  private long elapsedMs = 5_000;
  private long wallClockMs = 1_700_000_000_000L;
  private final SuspendAwareClock clock = new SuspendAwareClock(() -> elapsedMs, () -> wallClockMs);

  private void pass(long durationMs) {
    elapsedMs += durationMs;
    wallClockMs += durationMs;
  }

  @Nested
  class WhenTheWallClockIsSet {

    /**
     * Guards against leases that count as expired too early, or an authority that lasts too long,
     * because the time of day was set meanwhile.
     */
    @ParameterizedTest
    @ValueSource(longs = {-86_400_000, -2_000, -399, 401, 2_000, 86_400_000})
    void shouldMeasureOnlyTheTimeThatHasPassed(long stepMs) {
      long beforeMs = clock.nowMs();
      pass(1_000);
      wallClockMs += stepMs;
      pass(500);
      assertThat(clock.nowMs() - beforeMs).isEqualTo(1_500);
      assertThat(clock.epochMs()).isEqualTo(wallClockMs);
    }
  }

  @Nested
  class OfTheOperatingSystem {

    /** Guards against a build whose native library for this machine is missing. */
    @Test
    @EnabledOnOs(OS.LINUX)
    void shouldReadTheBootTime() {
      MonotonicClock bootTime = BootTimeClock.openOrMonotonic();
      assertThat(bootTime).isInstanceOf(BootTimeClock.class);
      long beforeMs = bootTime.nowMs();
      assertThat(beforeMs).isPositive();
      assertThat(bootTime.nowMs() - beforeMs).isBetween(0L, 60_000L);
    }
  }
}
