package org.laburnumarch.internal.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;
import static org.laburnumarch.internal.runtime.TestSteps.logNormal;
import static org.laburnumarch.internal.runtime.TestSteps.step;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.runtime.TestSteps.Kind;

/** Tests predictions on synthetic kinds of work, without a clock: time is counted in runs. */
class RunTimesTest {

  private static final String QUEUE = "q";
  private final long seed = System.nanoTime();
  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  private final RunTimes runTimes = new RunTimes();

  private void learn(StepSpec step, int runs, double meanMs) {
    for (int i = 0; i < runs; i++) {
      runTimes.learn(QUEUE, step, meanMs * logNormal(random, 0.2));
    }
  }

  @Nested
  class Predictions {

    /** Guards against behaviour that changes although nothing has been learnt. */
    @Test
    void shouldEqualTheEstimateWithoutEvidence() {
      assertThat(runTimes.predict(QUEUE, step("i", 777)))
          .isEqualTo(new RunTimePrediction(777, 777, 3.5 * 777, 777, 0, 1));
    }

    /** Guards against quantiles that mean nothing, whether estimates are wrong by kind or job. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldBeCalibratedAfterTwoHundredRuns(boolean isErrorPerJob) {
      List<Kind> kinds =
          IntStream.range(0, 12).mapToObj(i -> new Kind("k" + i, isErrorPerJob, random)).toList();
      Calibration calibration = new Calibration();
      double below50 = 0;
      double below90 = 0;
      int counted = 0;
      for (int job = 0; job < 12 * 100; job++) {
        Kind kind = kinds.get(job % kinds.size());
        StepSpec step = kind.nextStep();
        for (int task = 0; task < step.count(); task++) {
          RunTimePrediction prediction = runTimes.predict(QUEUE, step);
          double ranMs = kind.nextRunMs();
          if (job >= 12 * 25) {
            counted++;
            below50 += ranMs <= prediction.medianMs() ? 1 : 0;
            below90 += ranMs <= prediction.highMs() ? 1 : 0;
          }
          runTimes.learn(QUEUE, step, ranMs);
          calibration = runTimes.calibrations().getOrDefault(QUEUE, calibration);
        }
      }
      String figures =
          String.format(
              "seed=%d perJob=%s runs=%d below50=%.3f below90=%.3f",
              seed, isErrorPerJob, counted, below50 / counted, below90 / counted);
      System.out.println(figures);
      assertThat(below50 / counted).as(figures).isBetween(0.45, 0.55);
      assertThat(below90 / counted).as(figures).isBetween(0.85, 0.95);
      assertThat(calibration.belowHigh()).as(figures).isBetween(0.8, 0.98);
    }

    /** Guards against an estimate that lags behind a change; 5 s at 20 runs a second. */
    @ParameterizedTest
    @ValueSource(doubles = {2, 0.5})
    void shouldFollowAChangeWithinAHundredRuns(double factor) {
      StepSpec step = step("i", 300);
      learn(step, 1_000, 1_000);
      learn(step, 100, factor * 1_000);
      double ratio = runTimes.predict(QUEUE, step).medianMs() / (factor * 1_000);
      System.out.printf("seed=%d change=%.1f predicted/actual=%.3f%n", seed, factor, ratio);
      assertThat(ratio).as("seed %d", seed).isCloseTo(1, within(0.2));
    }

    /** Guards against run times that look shorter because long runs are stopped. */
    @Test
    void shouldCountStoppedRunsAsLowerBounds() {
      RunTimes withoutBounds = new RunTimes();
      StepSpec step = step("i", 1_000);
      double sumMs = 0;
      double sumWithoutMs = 0;
      for (int i = 0; i < 11_000; i++) {
        double ranMs = 1_000 * logNormal(random, 0.8);
        if (ranMs > 2_000 && i % 2 == 0) {
          runTimes.learnBound(QUEUE, step, 2_000);
        } else {
          runTimes.learn(QUEUE, step, ranMs);
          withoutBounds.learn(QUEUE, step, ranMs);
        }
        sumMs += i < 1_000 ? 0 : runTimes.expectedMs(QUEUE, step);
        sumWithoutMs += i < 1_000 ? 0 : withoutBounds.expectedMs(QUEUE, step);
      }
      assertThat(sumMs / 10_000)
          .as("seed %d, without bounds %f", seed, sumWithoutMs / 10_000)
          .isCloseTo(1_000 * Math.exp(0.32), within(200.0))
          .isGreaterThan(1.05 * sumWithoutMs / 10_000);
    }
  }

  @Nested
  class Records {

    /** Guards against a successor that predicts something else, or a record that is too long. */
    @Test
    void shouldRestoreABoundedRecord() throws IOException {
      StepSpec last = step("x", 1);
      for (int k = 0; k < 900; k++) {
        last = step("a-rather-long-name-of-an-image-" + k, 500);
        learn(last, 60, 500 + 3 * k);
      }
      assertThat(runTimes.kindCount()).isLessThanOrEqualTo(512);
      assertThat(runTimes.hasChanged()).isTrue();
      byte[] record = runTimes.encode(16_384);
      assertThat(record.length).isBetween(10_000, 16_384);
      RunTimes restored = new RunTimes();
      restored.restore(record);
      assertThat(restored.hasChanged()).isFalse();
      RunTimePrediction before = runTimes.predict(QUEUE, last);
      RunTimePrediction after = restored.predict(QUEUE, last);
      assertThat(after.medianMs()).isCloseTo(before.medianMs(), within(0.1 * before.medianMs()));
      assertThat(after.highMs()).isCloseTo(before.highMs(), within(0.15 * before.highMs()));
    }

    /** Guards against an owner that fails, or predicts nonsense, because of a damaged record. */
    @Test
    void shouldRejectDamagedRecords() {
      learn(step("i", 100), 1, 200);
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
