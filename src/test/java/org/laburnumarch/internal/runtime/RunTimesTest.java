package org.laburnumarch.internal.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;

/** Tests predictions on synthetic kinds of work, without a clock: time is counted in runs. */
class RunTimesTest {

  private static final String QUEUE = "q";
  private static final double ESTIMATE_SPREAD = 0.9;
  private static final double RUN_SPREAD = 0.2;
  private static final double LONG_FRACTION = 0.03;
  private static final double LONG_FACTOR = 7;

  static StepSpec step(String image, double estimateMs) {
    return new StepSpec(
        8,
        new Resources(2_000, 1_000, 0),
        Math.max(1, Math.round(estimateMs)),
        List.of(),
        false,
        false,
        false,
        "",
        "",
        0,
        false,
        false,
        image,
        0,
        false,
        0);
  }

  static double gaussian(UniformRandomProvider random) {
    double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
    return radius * Math.cos(2 * Math.PI * random.nextDouble());
  }

  /** A kind of work whose callers' estimates are wrong. */
  static final class Kind {
    final String image;
    final boolean isEstimateErrorPerJob;
    private final UniformRandomProvider random;
    private final double meanMs;
    private final double kindError;

    Kind(String image, boolean isEstimateErrorPerJob, UniformRandomProvider random) {
      this.image = image;
      this.isEstimateErrorPerJob = isEstimateErrorPerJob;
      this.random = random;
      this.meanMs = 500 * Math.exp(1.5 * random.nextDouble());
      this.kindError = Math.exp(ESTIMATE_SPREAD * gaussian(random));
    }

    /** Returns the step of a new job. */
    StepSpec nextStep() {
      double error =
          isEstimateErrorPerJob ? Math.exp(ESTIMATE_SPREAD * gaussian(random)) : kindError;
      return step(image, meanMs * error);
    }

    double nextRunMs() {
      double longFactor = random.nextDouble() < LONG_FRACTION ? LONG_FACTOR : 1;
      return meanMs * longFactor * Math.exp(RUN_SPREAD * gaussian(random));
    }
  }

  @Nested
  class Predictions {

    /** Guards against behaviour that changes although nothing has been learnt. */
    @Test
    void shouldEqualTheEstimateWithoutEvidence() {
      RunTimePrediction prediction = new RunTimes().predict(QUEUE, step("i", 777));
      assertThat(prediction.medianMs()).isEqualTo(777);
      assertThat(prediction.highMs()).isEqualTo(777);
      assertThat(prediction.expectedMs()).isEqualTo(777);
      assertThat(prediction.hasEvidence()).isFalse();
    }

    /**
     * Guards against predictions whose quantiles mean nothing, for either kind of wrong estimate.
     */
    @Test
    void shouldBeCalibratedAfterTwoHundredRuns() {
      long seed = System.nanoTime();
      for (boolean isErrorPerJob : new boolean[] {false, true}) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        RunTimes runTimes = new RunTimes();
        int below50 = 0;
        int below90 = 0;
        int oldBelow = 0;
        int counted = 0;
        double oldRatio = 1;
        List<Kind> kinds =
            java.util.stream.IntStream.range(0, 12)
                .mapToObj(i -> new Kind("image" + i, isErrorPerJob, random))
                .toList();
        for (int job = 0; job < 12 * 100; job++) {
          Kind kind = kinds.get(job % kinds.size());
          StepSpec step = kind.nextStep();
          for (int task = 0; task < step.count(); task++) {
            RunTimePrediction prediction = runTimes.predict(QUEUE, step);
            double ranMs = kind.nextRunMs();
            if (prediction.runs() >= 200 && job >= 12 * 25) {
              counted++;
              below50 += ranMs <= prediction.medianMs() ? 1 : 0;
              below90 += ranMs <= prediction.highMs() ? 1 : 0;
              oldBelow += ranMs <= oldRatio * step.estimatedRunMs() ? 1 : 0;
            }
            runTimes.learn(QUEUE, step, ranMs);
            double ratio = Math.min(4, Math.max(0.3, ranMs / step.estimatedRunMs()));
            oldRatio += 0.05 * (ratio - oldRatio);
          }
        }
        String figures =
            String.format(
                "seed=%d perJob=%s runs=%d below50=%.3f below90=%.3f belowOldEstimate=%.3f",
                seed,
                isErrorPerJob,
                counted,
                below50 / (double) counted,
                below90 / (double) counted,
                oldBelow / (double) counted);
        System.out.println(figures);
        assertThat(below50 / (double) counted).as(figures).isBetween(0.42, 0.58);
        assertThat(below90 / (double) counted).as(figures).isBetween(0.85, 0.95);
        Calibration calibration = runTimes.calibrations().get(QUEUE);
        assertThat(calibration.belowHigh()).as(figures).isBetween(0.8, 0.98);
      }
    }

    /** Guards against an estimate that lags behind a change; 5 s at 20 runs a second. */
    @Test
    void shouldFollowAChangeWithinAHundredRuns() {
      UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
      for (double factor : new double[] {2, 0.5}) {
        RunTimes runTimes = new RunTimes();
        StepSpec step = step("i", 300);
        for (int i = 0; i < 1_000; i++) {
          runTimes.learn(QUEUE, step, 1_000 * Math.exp(RUN_SPREAD * gaussian(random)));
        }
        for (int i = 0; i < 100; i++) {
          runTimes.learn(QUEUE, step, factor * 1_000 * Math.exp(RUN_SPREAD * gaussian(random)));
        }
        double ratio = runTimes.predict(QUEUE, step).medianMs() / (factor * 1_000);
        System.out.printf("change=%.1f predicted/actual=%.3f%n", factor, ratio);
        assertThat(ratio).as("factor %s", factor).isCloseTo(1, within(0.15));
      }
    }

    /** Guards against run times that look shorter because long runs are stopped. */
    @Test
    void shouldCountStoppedRunsAsLowerBounds() {
      RunTimes runTimes = new RunTimes();
      RunTimes withoutBounds = new RunTimes();
      UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
      StepSpec step = step("i", 1_000);
      for (int i = 0; i < 2_000; i++) {
        double ranMs = 1_000 * Math.exp(0.8 * gaussian(random));
        if (ranMs > 2_000 && i % 2 == 0) {
          runTimes.learnBound(QUEUE, step, 2_000);
        } else {
          runTimes.learn(QUEUE, step, ranMs);
          withoutBounds.learn(QUEUE, step, ranMs);
        }
      }
      double actualHighMs = 1_000 * Math.exp(0.8 * 1.28);
      double highMs = runTimes.predict(QUEUE, step).highMs();
      assertThat(highMs).isCloseTo(actualHighMs, within(0.35 * actualHighMs));
      assertThat(highMs).isGreaterThan(withoutBounds.predict(QUEUE, step).highMs());
    }
  }

  @Nested
  class Records {

    /** Guards against a successor that predicts something else, or a record that is too long. */
    @Test
    void shouldRestoreABoundedRecord() throws IOException {
      UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
      RunTimes runTimes = new RunTimes();
      StepSpec last = step("x", 1);
      for (int k = 0; k < 900; k++) {
        Kind kind = new Kind("a-rather-long-name-of-an-image-" + k, false, random);
        last = kind.nextStep();
        for (int i = 0; i < 60; i++) {
          runTimes.learn("queue" + k % 5, last, kind.nextRunMs());
        }
      }
      assertThat(runTimes.kindCount()).isLessThanOrEqualTo(512);
      assertThat(runTimes.hasChanged()).isTrue();
      byte[] record = runTimes.encode(16_384);
      assertThat(record.length).isBetween(10_000, 16_384);
      RunTimes restored = new RunTimes();
      restored.restore(record);
      assertThat(restored.hasChanged()).isFalse();
      RunTimePrediction before = runTimes.predict("queue4", last);
      RunTimePrediction after = restored.predict("queue4", last);
      assertThat(after.medianMs()).isCloseTo(before.medianMs(), within(0.1 * before.medianMs()));
      assertThat(after.highMs()).isCloseTo(before.highMs(), within(0.15 * before.highMs()));
      assertThat(after.tailMs()).isCloseTo(before.tailMs(), within(0.3 * before.tailMs()));
    }

    /** Guards against an owner that fails, or predicts nonsense, because of a damaged record. */
    @Test
    void shouldRejectDamagedRecords() throws IOException {
      long seed = System.nanoTime();
      UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
      RunTimes runTimes = new RunTimes();
      runTimes.learn(QUEUE, step("i", 100), 200);
      byte[] record = runTimes.encode(16_384);
      for (int length = 0; length < record.length; length++) {
        byte[] part = Arrays.copyOf(record, length);
        assertThatThrownBy(() -> new RunTimes().restore(part)).isInstanceOf(IOException.class);
      }
      for (int i = 0; i < 5_000; i++) {
        byte[] damaged = record.clone();
        damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
        RunTimes restored = new RunTimes();
        try {
          restored.restore(damaged);
        } catch (IOException e) {
          continue;
        }
        double predictedMs = restored.expectedMs(QUEUE, step("i", 100));
        assertThat(predictedMs).as("seed %d", seed).isBetween(1.0, 5_001.0);
      }
    }
  }
}
