package org.laburnumarch.internal.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.runtime.StragglerRule.Progress;
import org.laburnumarch.internal.runtime.StragglerRule.SlowRuns;
import org.laburnumarch.internal.runtime.StragglerRule.Verdict;

/**
 * Compares the rule with the earlier one, which used one ratio per queue and fixed multiples of the
 * expected time, on virtual time: 3% of the tasks are seven times as long as usual, and 2% of the
 * runs stand still from some point on.
 */
class StragglerRuleTest {

  private static final String QUEUE = "q";
  private static final int DRAWS = 10;
  private static final int JOBS = 1_200;
  private static final double STUCK_FRACTION = 0.02;
  private static final int MAX_STOPS = 2;

  /** Decides at each report whether a run is to be stopped, and learns from ended runs. */
  private interface Rule {
    boolean stops(StepSpec step, Progress progress, int earlierStops);

    void onDone(StepSpec step, double ranMs);

    void onStopped(StepSpec step, double ranMs, boolean wasStalled);
  }

  private static final class EarlierRule implements Rule {
    private double ratio = 1;

    @Override
    public boolean stops(StepSpec step, Progress progress, int earlierStops) {
      double expectedMs = ratio * step.estimatedRunMs();
      if (progress.unchangedMs() > Math.max(900, 0.6 * expectedMs) && progress.percent() < 100) {
        return true;
      }
      double remainingMs = progress.projectedMs() - progress.elapsedMs();
      return progress.percent() > 0
          && progress.percentAfterMs() >= 900
          && earlierStops < MAX_STOPS
          && progress.projectedMs() > 3.5 * expectedMs
          && remainingMs > expectedMs + 700;
    }

    @Override
    public void onDone(StepSpec step, double ranMs) {
      ratio += 0.05 * (Math.min(4, Math.max(0.3, ranMs / step.estimatedRunMs())) - ratio);
    }

    @Override
    public void onStopped(StepSpec step, double ranMs, boolean wasStalled) {}
  }

  private static final class LearntRule implements Rule {
    private final RunTimes runTimes = new RunTimes();
    private Verdict verdict;

    @Override
    public boolean stops(StepSpec step, Progress progress, int earlierStops) {
      RunTimePrediction prediction = runTimes.predict(QUEUE, step);
      verdict = StragglerRule.judge(prediction, 1, progress, false, SlowRuns.FEW);
      int maxStops = prediction.hasEvidence() ? 1 : MAX_STOPS;
      return verdict == Verdict.STALLED || (verdict == Verdict.CRAWLING && earlierStops < maxStops);
    }

    @Override
    public void onDone(StepSpec step, double ranMs) {
      runTimes.learn(QUEUE, step, ranMs);
    }

    @Override
    public void onStopped(StepSpec step, double ranMs, boolean wasStalled) {
      if (verdict != Verdict.STALLED) {
        runTimes.learnBound(QUEUE, step, ranMs);
      }
    }
  }

  private static final class Outcome {
    int runs;
    int falseStops;
    int stuck;
    int stuckUnfound;
    double stuckMs;

    @Override
    public String toString() {
      return String.format(
          "runs=%d falseStops=%d stuck=%d unfound=%d meanMsUntilFound=%.0f",
          runs, falseStops, stuck, stuckUnfound, stuckMs / Math.max(1, stuck - stuckUnfound));
    }
  }

  /** Plays several draws of kinds, since a single one decides how wrong the estimates are. */
  private static Outcome simulate(Supplier<Rule> rules, long seed, boolean isErrorPerJob) {
    Outcome outcome = new Outcome();
    for (int draw = 0; draw < DRAWS; draw++) {
      simulate(rules.get(), seed + draw, isErrorPerJob, outcome);
    }
    return outcome;
  }

  private static void simulate(Rule rule, long seed, boolean isErrorPerJob, Outcome outcome) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    List<RunTimesTest.Kind> kinds = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      kinds.add(new RunTimesTest.Kind("image" + i, isErrorPerJob, random));
    }
    for (int job = 0; job < JOBS; job++) {
      RunTimesTest.Kind kind = kinds.get(job % kinds.size());
      StepSpec step = kind.nextStep();
      for (int task = 0; task < step.count(); task++) {
        // A generator of its own for each task, so that both rules meet the same tasks.
        UniformRandomProvider own = RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
        runTask(rule, step, kind.nextRunMs(), own, outcome);
      }
    }
  }

  private static void runTask(
      Rule rule, StepSpec step, double totalMs, UniformRandomProvider random, Outcome outcome) {
    boolean isStuck = random.nextDouble() < STUCK_FRACTION;
    int stops = 0;
    while (true) {
      double stuckAtMs = isStuck ? totalMs * random.nextDouble() : Double.MAX_VALUE;
      outcome.runs++;
      outcome.stuck += isStuck ? 1 : 0;
      double stoppedAtMs = run(rule, step, totalMs, stuckAtMs, stops, random);
      if (stoppedAtMs < 0 && !isStuck) {
        rule.onDone(step, totalMs);
        return;
      }
      if (stoppedAtMs < 0) {
        outcome.stuckUnfound++;
        return;
      }
      rule.onStopped(step, stoppedAtMs, isStuck);
      outcome.falseStops += stoppedAtMs < stuckAtMs ? 1 : 0;
      outcome.stuckMs += isStuck ? Math.max(0, stoppedAtMs - stuckAtMs) : 0;
      isStuck = false;
      stops++;
    }
  }

  /** Returns the time at which the rule stops the run; -1 if it lets it end. */
  private static double run(
      Rule rule,
      StepSpec step,
      double totalMs,
      double stuckAtMs,
      int stops,
      UniformRandomProvider random) {
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
      if (rule.stops(step, progress, stops)) {
        return atMs;
      }
    }
    return -1;
  }

  /** Guards against long tasks that are stopped, and stuck ones that are found late. */
  @Test
  void shouldStopFewerLongTasksAndFindStuckOnesSooner() {
    long seed = System.nanoTime();
    for (boolean isErrorPerJob : new boolean[] {false, true}) {
      Outcome earlier = simulate(EarlierRule::new, seed, isErrorPerJob);
      Outcome learnt = simulate(LearntRule::new, seed, isErrorPerJob);
      String figures =
          String.format(
              "seed=%d perJob=%s earlier: %s; learnt: %s", seed, isErrorPerJob, earlier, learnt);
      System.out.println(figures);
      assertThat(learnt.falseStops).as(figures).isLessThan(earlier.falseStops / 2);
      assertThat(learnt.falseStops).as(figures).isLessThan(learnt.runs / 50);
      assertThat(learnt.stuckUnfound).as(figures).isZero();
      assertThat(learnt.stuckMs / learnt.stuck)
          .as(figures)
          .isLessThan(earlier.stuckMs / earlier.stuck);
    }
  }
}
