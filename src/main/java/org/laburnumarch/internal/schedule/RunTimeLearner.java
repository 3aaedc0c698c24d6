package org.laburnumarch.internal.schedule;

import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.runtime.RunTimePrediction;
import org.laburnumarch.internal.runtime.RunTimes;

/**
 * Converts the ends of runs into run times near the data on a worker of usual speed, and learns
 * from them. Leaves out what says little about the task: restored runs, gangs, fillers, runs whose
 * start or end is not known well, and runs on a worker that stalled.
 */
final class RunTimeLearner {

  /**
   * Factor by which a worker's runs must exceed their predictions, compared with those of all
   * workers, for the worker to count as slow. Smaller factors come from the tasks themselves.
   */
  private static final double SLOW_WORKER_FACTOR = 1.5;

  private static final int MIN_RUNS_OF_WORKER = 3;
  private static final int RUNS_OF_ALL_WORKERS = 64;

  /** Evidence from which on a run's deviation from its prediction says something of its worker. */
  private static final int MIN_RUNS_OF_PREDICTION = 10;

  /** Time from request to reply beyond which the worker delayed the report until an end. */
  private static final long WAITED_MS = 50;

  /**
   * Largest time between two reports for the end of a run to be known well enough. Reports are at
   * most 1 s apart unless some were missed.
   */
  private static final long MAX_UNKNOWN_MS = 1_000;

  private final RunTimes runTimes;
  private final double remoteSlowdownFactor;

  /** Deviations of the runs of all workers; a change of the tasks shows in these, too. */
  private final MovingMedian allDeviations = new MovingMedian(RUNS_OF_ALL_WORKERS);

  RunTimeLearner(RunTimes runTimes, double remoteSlowdownFactor) {
    this.runTimes = runTimes;
    this.remoteSlowdownFactor = remoteSlowdownFactor;
  }

  /** Returns the factor by which a run's distance from its data lengthens it. */
  double remoteFactor(Attempt attempt) {
    String dataRack = attempt.task.step.spec.dataRack();
    boolean isRemote = !dataRack.isEmpty() && !dataRack.equals(attempt.worker.listing.rack());
    return isRemote ? remoteSlowdownFactor : 1;
  }

  /** Returns the ratio of a run's time so far to what was expected where it runs. */
  double ratioToExpected(Attempt attempt, long nowMs) {
    double expectedMs = attempt.task.step.predict(runTimes).expectedMs() * remoteFactor(attempt);
    return (nowMs - attempt.orderedAtMs) / expectedMs;
  }

  /**
   * Learns from a run that was done.
   *
   * @param requestedAtMs local time at which the report that lists the end was requested
   */
  void onDone(Attempt attempt, long requestedAtMs, long nowMs) {
    if (!isUsable(attempt)) {
      return;
    }
    long listedAtMs = Math.max(attempt.orderedAtMs, attempt.reportedAtMs);
    if (attempt.isStartUncertain
        || attempt.isEndUnlisted
        || requestedAtMs - listedAtMs > MAX_UNKNOWN_MS) {
      learnBound(attempt, listedAtMs - attempt.orderedAtMs);
      return;
    }
    // The worker replied at once if the run had ended before the request.
    double endedAtMs =
        nowMs - requestedAtMs > WAITED_MS
            ? nowMs
            : listedAtMs + Math.max(0, requestedAtMs - listedAtMs) / 2.0;
    String queue = attempt.task.step.job.spec.queue();
    StepSpec spec = attempt.task.step.spec;
    double ownMs = (endedAtMs - attempt.orderedAtMs) / remoteFactor(attempt);
    double slowness = slowness(attempt.worker);
    recordDeviation(attempt.worker, runTimes.predict(queue, spec), ownMs);
    runTimes.learn(queue, spec, Math.max(1, ownMs / slowness));
  }

  /** Learns from a run that ended before the task was done, on an order or with its lease. */
  void onInterrupted(Attempt attempt) {
    if (isUsable(attempt)) {
      learnBound(attempt, attempt.reportedAtMs - attempt.orderedAtMs);
    }
  }

  private void learnBound(Attempt attempt, long ranMs) {
    if (ranMs > 0) {
      double ownMs = ranMs / remoteFactor(attempt) / slowness(attempt.worker);
      runTimes.learnBound(
          attempt.task.step.job.spec.queue(), attempt.task.step.spec, Math.max(1, ownMs));
    }
  }

  private static boolean isUsable(Attempt attempt) {
    StepSpec spec = attempt.task.step.spec;
    return attempt.checkpoint.isEmpty()
        && !attempt.isStalled
        && !spec.isLongRunning()
        && !spec.isGang()
        && !spec.isFiller()
        && !(spec.isRackSensitive() && spansRacks(attempt));
  }

  private static boolean spansRacks(Attempt attempt) {
    String rack = attempt.worker.listing.rack();
    for (Task task : attempt.task.step.tasks) {
      if (task.attempt != null && !task.attempt.worker.listing.rack().equals(rack)) {
        return true;
      }
    }
    return false;
  }

  private void recordDeviation(Worker worker, RunTimePrediction prediction, double ownMs) {
    if (prediction.runs() >= MIN_RUNS_OF_PREDICTION) {
      double deviation = Math.log(Math.max(1, ownMs) / prediction.medianMs());
      worker.deviations.add(deviation);
      allDeviations.add(deviation);
    }
  }

  /**
   * Returns the factor by which a worker lengthens its runs; 1 unless it is clearly slow. {@link
   * WorkerHealth#slowness} would not do: one task that is long by itself raises it to several times
   * its usual value, and the next runs there would be taken for short ones.
   */
  private double slowness(Worker worker) {
    double deviation = worker.deviations.value() - allDeviations.value();
    return worker.deviations.count() >= MIN_RUNS_OF_WORKER
            && deviation > Math.log(SLOW_WORKER_FACTOR)
        ? Math.exp(deviation)
        : 1;
  }
}
