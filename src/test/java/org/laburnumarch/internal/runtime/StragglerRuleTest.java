package org.laburnumarch.internal.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.runtime.StragglerRule.Progress;
import org.laburnumarch.internal.runtime.StragglerRule.SlowRuns;
import org.laburnumarch.internal.runtime.StragglerRule.Verdict;
import org.laburnumarch.internal.runtime.TestSteps.Kind;

/**
 * Compares the rule with the earlier one, which used one ratio per queue and fixed multiples of the
 * expected time, on virtual time: 3% of the tasks are seven times as long as usual, and 2% of the
 * runs stand still from some point on.
 */
class StragglerRuleTest {

  private static final String QUEUE = "q";

  /** Number of draws of kinds; a single one decides how wrong the estimates are. */
  private static final int DRAWS = 10;

  private static final int JOBS = 1_200;
  private static final double STUCK_FRACTION = 0.02;

  /** Plays the same tasks for one of the rules and counts what happens. */
  private static final class Play {
    final boolean isEarlierRule;
    RunTimes runTimes;
    double earlierRatio;
    int runs;
    int falseStops;
    int stuck;
    double stuckMs;

    Play(boolean isEarlierRule, long seed, boolean isErrorPerJob) {
      this.isEarlierRule = isEarlierRule;
      for (int draw = 0; draw < DRAWS; draw++) {
        runTimes = new RunTimes();
        earlierRatio = 1;
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + draw);
        List<Kind> kinds =
            IntStream.range(0, 12).mapToObj(i -> new Kind("k" + i, isErrorPerJob, random)).toList();
        for (int job = 0; job < JOBS; job++) {
          Kind kind = kinds.get(job % kinds.size());
          StepSpec step = kind.nextStep();
          for (int task = 0; task < step.count(); task++) {
            // A generator of its own for each task, so that both rules meet the same tasks.
            UniformRandomProvider own = RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
            runTask(step, kind.nextRunMs(), own);
          }
        }
      }
    }

    private void runTask(StepSpec step, double totalMs, UniformRandomProvider random) {
      boolean isStuck = random.nextDouble() < STUCK_FRACTION;
      for (int stops = 0; ; stops++) {
        double stuckAtMs = isStuck ? totalMs * random.nextDouble() : Double.MAX_VALUE;
        runs++;
        long stoppedAtMs = run(step, totalMs, stuckAtMs, stops, random);
        if (stoppedAtMs < 0) {
          assertThat(isStuck).as("a stuck run was not found").isFalse();
          runTimes.learn(QUEUE, step, totalMs);
          double ratio = Math.min(4, Math.max(0.3, totalMs / step.estimatedRunMs()));
          earlierRatio += 0.05 * (ratio - earlierRatio);
          return;
        }
        falseStops += stoppedAtMs < stuckAtMs ? 1 : 0;
        stuck += isStuck ? 1 : 0;
        stuckMs += isStuck ? Math.max(0, stoppedAtMs - stuckAtMs) : 0;
        isStuck = false;
      }
    }

    /** Returns the time at which the rule stops the run; -1 if it lets it end. */
    private long run(
        StepSpec step, double totalMs, double stuckAtMs, int stops, UniformRandomProvider random) {
      int percent = 0;
      long percentAfterMs = 0;
      for (long atMs = 0; atMs < 120_000; atMs += 20 + random.nextInt(980)) {
        if (atMs >= totalMs && stuckAtMs == Double.MAX_VALUE) {
          return -1;
        }
        int now = (int) (100 * Math.min((double) atMs, stuckAtMs) / totalMs);
        if (now != percent) {
          percent = now;
          percentAfterMs = atMs;
        }
        Progress progress = new Progress(percent, percentAfterMs, atMs - percentAfterMs, atMs);
        if (isEarlierRule ? stopsEarlier(step, progress, stops) : stops(step, progress, stops)) {
          return atMs;
        }
      }
      return -1;
    }

    private boolean stopsEarlier(StepSpec step, Progress progress, int earlierStops) {
      double expectedMs = earlierRatio * step.estimatedRunMs();
      return (progress.unchangedMs() > Math.max(900, 0.6 * expectedMs) && progress.percent() < 100)
          || (progress.showsPace()
              && earlierStops < 2
              && progress.projectedMs() > 3.5 * expectedMs
              && progress.projectedMs() - progress.elapsedMs() > expectedMs + 700);
    }

    private boolean stops(StepSpec step, Progress progress, int earlierStops) {
      RunTimePrediction prediction = runTimes.predict(QUEUE, step);
      Verdict verdict = StragglerRule.judge(prediction, 1, progress, false, SlowRuns.FEW);
      boolean isCrawling =
          verdict == Verdict.CRAWLING && earlierStops < (prediction.hasEvidence() ? 1 : 2);
      if (isCrawling) {
        runTimes.learnBound(QUEUE, step, (double) progress.elapsedMs());
      }
      return verdict == Verdict.STALLED || isCrawling;
    }

    @Override
    public String toString() {
      return String.format(
          "runs=%d falseStops=%d stuck=%d meanMsUntilFound=%.0f",
          runs, falseStops, stuck, stuckMs / stuck);
    }
  }

  /** Guards against long tasks that are stopped, and stuck ones that are found late. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void shouldStopFewerLongTasksAndFindStuckOnesSooner(boolean isErrorPerJob) {
    long seed = System.nanoTime();
    Play earlier = new Play(true, seed, isErrorPerJob);
    Play learnt = new Play(false, seed, isErrorPerJob);
    String figures =
        String.format(
            "seed=%d perJob=%s earlier: %s; learnt: %s", seed, isErrorPerJob, earlier, learnt);
    System.out.println(figures);
    assertThat(learnt.falseStops).as(figures).isLessThan(earlier.falseStops / 2);
    assertThat(learnt.falseStops).as(figures).isLessThan(learnt.runs / 50);
    assertThat(learnt.stuckMs / learnt.stuck)
        .as(figures)
        .isLessThan(earlier.stuckMs / earlier.stuck);
  }
}
