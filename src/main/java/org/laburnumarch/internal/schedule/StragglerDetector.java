package org.laburnumarch.internal.schedule;

import java.util.HashSet;
import java.util.Set;
import org.laburnumarch.internal.runtime.RunTimePrediction;
import org.laburnumarch.internal.runtime.RunTimes;
import org.laburnumarch.internal.runtime.StragglerRule;
import org.laburnumarch.internal.runtime.StragglerRule.Progress;
import org.laburnumarch.internal.runtime.StragglerRule.SlowRuns;
import org.laburnumarch.internal.runtime.StragglerRule.Verdict;

/**
 * Finds runs that make no progress or very slow progress, and marks them to be stopped so that they
 * run elsewhere. This covers workers that report themselves healthy but do not progress.
 */
final class StragglerDetector {

  /** Ratio of actual to expected run time that a stalled run counts as. */
  private static final double STALLED_RATIO = 3.5;

  /**
   * Number of straggling runs of a task after which a crawling one is left alone. A task that
   * crawls on one worker after the other is long, and not slowed down by any of them.
   */
  private static final int MAX_STRAGGLING_RUNS = 2;

  /** The same on a worker whose other runs are as fast as usual. */
  private static final int MAX_STRAGGLING_RUNS_ON_USUAL_WORKER = 1;

  /**
   * Number of jobs with slow runs that make a worker slow. One run in ten is above its predicted
   * 0.9 quantile; the runs of one job may share a wrong estimate.
   */
  private static final int MIN_SLOW_JOBS = 3;

  /**
   * Fraction of slow runs on all workers above which the tasks have changed. One run in ten is slow
   * by definition, so this allows for a quarter of the workers to be slow.
   */
  private static final double CHANGED_FRACTION = 0.33;

  /** Weight of one worker in the fraction of slow runs on all workers. */
  private static final double WORKER_WEIGHT = 1.0 / 64;

  private final RunTimes runTimes;
  private final RunTimeLearner learner;
  private double slowFraction;

  StragglerDetector(RunTimes runTimes, RunTimeLearner learner) {
    this.runTimes = runTimes;
    this.learner = learner;
  }

  /** Marks the straggling runs of a worker to be stopped. */
  void check(Worker worker, long nowMs) {
    SlowRuns slowRuns = findSlowRuns(worker, nowMs);
    for (Attempt attempt : worker.attempts.values()) {
      if (!isWatched(attempt)) {
        continue;
      }
      Verdict verdict = judge(attempt, slowRuns, nowMs);
      if (verdict != Verdict.USUAL) {
        worker.health.recordOverdueRun(
            verdict == Verdict.STALLED
                ? STALLED_RATIO
                : progress(attempt, nowMs).projectedMs()
                    / (attempt.task.step.predict(runTimes).expectedMs()
                        * learner.remoteFactor(attempt)));
        attempt.isStalled = verdict == Verdict.STALLED;
        attempt.stop();
        attempt.task.stragglingRuns++;
        attempt.task.avoidedWorker = worker.id;
      }
    }
  }

  private static boolean isWatched(Attempt attempt) {
    Step step = attempt.task.step;
    return attempt.phase == Attempt.Phase.RUNNING
        && !attempt.isStopWanted()
        && attempt.task.attempt == attempt
        && !step.spec.isLongRunning()
        && !step.spec.isGang();
  }

  private static Progress progress(Attempt attempt, long nowMs) {
    return new Progress(
        attempt.percent,
        attempt.percentChangedAtMs - attempt.orderedAtMs,
        attempt.reportedAtMs - attempt.percentChangedAtMs,
        nowMs - attempt.orderedAtMs);
  }

  private Verdict judge(Attempt attempt, SlowRuns slowRuns, long nowMs) {
    RunTimePrediction prediction = attempt.task.step.predict(runTimes);
    Verdict verdict =
        StragglerRule.judge(
            prediction,
            learner.remoteFactor(attempt),
            progress(attempt, nowMs),
            !attempt.checkpoint.isEmpty(),
            slowRuns);
    int maxStragglingRuns =
        slowRuns == SlowRuns.ON_WORKER || !prediction.hasEvidence()
            ? MAX_STRAGGLING_RUNS
            : MAX_STRAGGLING_RUNS_ON_USUAL_WORKER;
    boolean isLeftAlone =
        verdict == Verdict.CRAWLING && attempt.task.stragglingRuns >= maxStragglingRuns;
    return isLeftAlone ? Verdict.USUAL : verdict;
  }

  /**
   * Finds out whether most of a worker's runs, of several jobs, are slower than nine of ten runs,
   * and whether that is so on other workers, too.
   */
  private SlowRuns findSlowRuns(Worker worker, long nowMs) {
    int withPace = 0;
    int slow = 0;
    Set<Job> slowJobs = new HashSet<>();
    for (Attempt attempt : worker.attempts.values()) {
      Progress progress = progress(attempt, nowMs);
      RunTimePrediction prediction = attempt.task.step.predict(runTimes);
      if (!isWatched(attempt)
          || !attempt.checkpoint.isEmpty()
          || !progress.showsPace()
          || prediction.runs() < StragglerRule.MIN_RUNS) {
        continue;
      }
      withPace++;
      if (progress.projectedMs() > prediction.highMs() * learner.remoteFactor(attempt)) {
        slow++;
        slowJobs.add(attempt.task.step.job);
      }
    }
    if (withPace > 0) {
      slowFraction += WORKER_WEIGHT * ((double) slow / withPace - slowFraction);
    }
    if (slowFraction > CHANGED_FRACTION) {
      return SlowRuns.EVERYWHERE;
    }
    boolean isWorkerSlow = slowJobs.size() >= MIN_SLOW_JOBS && 2 * slow > withPace;
    return isWorkerSlow ? SlowRuns.ON_WORKER : SlowRuns.FEW;
  }
}
