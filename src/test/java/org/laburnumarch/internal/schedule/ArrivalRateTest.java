package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ArrivalRateTest {

  private static final int SEEDS = 40;
  private static final long RISE_AT_MS = 10_000;
  private static final long END_MS = 18_000;

  /** Demand at a low level that rises at once to its peak, with random times and sizes. */
  private static final class RisingDemand {
    private final ArrivalRate rate = new ArrivalRate();
    private final Random random;
    private final double lowPerS;
    private final double peakPerS;
    private final double jobWork;
    private double nextAtMs;

    RisingDemand(long seed, double lowPerS, double peakPerS, double jobWork) {
      this.random = new Random(seed);
      this.lowPerS = lowPerS;
      this.peakPerS = peakPerS;
      this.jobWork = jobWork;
    }

    double perMsAt(long nowMs) {
      while (nextAtMs <= nowMs) {
        boolean isPeak = nextAtMs >= RISE_AT_MS;
        if (random.nextDouble() * peakPerS < (isPeak ? peakPerS : lowPerS)) {
          rate.add(jobWork * (0.5 + random.nextDouble()), (long) nextAtMs);
        }
        nextAtMs += -Math.log(1 - random.nextDouble()) * 1_000 / peakPerS;
      }
      return rate.perMs(nowMs);
    }

    double peakPerMs() {
      return peakPerS * jobWork / 1_000;
    }
  }

  @Nested
  class WhenDemandRises {

    /**
     * Plays a rise to many small jobs, to a few large ones and to a trickle, as fleets of different
     * sizes see it. Callers wait for the instances that the rise needs, and a move of those takes
     * 1.5 s, so most rises must be seen in half of that, and a trickle of large jobs in as much.
     */
    @ParameterizedTest
    @CsvSource({
      "1, 70, 1300, 750",
      "0.2, 18, 6000, 750",
      "0.4, 35, 700, 750",
      "0.05, 7, 2900, 1500"
    })
    void shouldSeeItInTime(double lowPerS, double peakPerS, double jobWork, long limitMs) {
      int seenInTime = 0;
      for (int seed = 0; seed < SEEDS; seed++) {
        RisingDemand demand = new RisingDemand(seed, lowPerS, peakPerS, jobWork);
        long nowMs = 0;
        while (nowMs < RISE_AT_MS || demand.perMsAt(nowMs) < 0.6 * demand.peakPerMs()) {
          nowMs += 50;
        }
        seenInTime += nowMs - RISE_AT_MS <= limitMs ? 1 : 0;
      }
      assertThat(seenInTime).isGreaterThanOrEqualTo(SEEDS * 3 / 4);
    }

    /**
     * Guards against instances that are taken from other pools because of a few chance arrivals.
     */
    @ParameterizedTest
    @CsvSource({"1, 70, 1300", "0.2, 18, 6000", "0.4, 35, 700", "0.05, 7, 2900"})
    void shouldNotTakeChanceArrivalsForARise(double lowPerS, double peakPerS, double jobWork) {
      int falselySeen = 0;
      for (int seed = 0; seed < SEEDS; seed++) {
        RisingDemand demand = new RisingDemand(seed, lowPerS, peakPerS, jobWork);
        boolean isSeen = false;
        for (long nowMs = 0; nowMs < RISE_AT_MS; nowMs += 50) {
          isSeen |= demand.perMsAt(nowMs) > 0.25 * demand.peakPerMs();
        }
        falselySeen += isSeen ? 1 : 0;
      }
      assertThat(falselySeen).isLessThanOrEqualTo(SEEDS / 10);
    }

    @ParameterizedTest
    @CsvSource({"1, 70, 1300", "0.2, 18, 6000", "0.4, 35, 700"})
    void shouldBeRightOnAverageInThePeak(double lowPerS, double peakPerS, double jobWork) {
      double sum = 0;
      int samples = 0;
      for (int seed = 0; seed < SEEDS; seed++) {
        RisingDemand demand = new RisingDemand(seed, lowPerS, peakPerS, jobWork);
        for (long nowMs = 0; nowMs < END_MS; nowMs += 50) {
          double perMs = demand.perMsAt(nowMs);
          if (nowMs > RISE_AT_MS + 3_000) {
            sum += perMs / demand.peakPerMs();
            samples++;
          }
        }
      }
      assertThat(sum / samples).isBetween(0.85, 1.15);
    }
  }

  @Test
  void shouldShowNothingOnceArrivalsHaveStopped() {
    ArrivalRate rate = new ArrivalRate();
    for (long nowMs = 0; nowMs < 1_000; nowMs += 20) {
      rate.add(100, nowMs);
    }
    assertThat(rate.perMs(1_000)).isPositive();
    assertThat(rate.perMs(3_500)).isZero();
  }
}
