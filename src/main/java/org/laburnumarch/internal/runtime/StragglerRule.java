package org.laburnumarch.internal.runtime;

/**
 * Decides whether a run is to be stopped so that its task runs elsewhere. A run is compared with
 * its own pace and with the tail of its kind: a task that is long by itself is long everywhere, so
 * stopping it only loses work, while a run that stands still does so because of its worker.
 */
public final class StragglerRule {

  /**
   * Minimum time without progress for a run to count as stalled; reports come at least once a
   * second, so a shorter time is no sign of a stall.
   */
  public static final long MIN_STALL_MS = 900;

  /** Time that a run elsewhere must save to make up for the lost work. */
  private static final long MIN_GAIN_MS = 700;

  /** Time without progress, as a fraction of the expected run time, without enough evidence. */
  private static final double STALLED_FRACTION = 0.6;

  /**
   * Number of percents for which a run that has shown its pace may stand still. Tasks that report
   * in steps of 20 percent are not taken for stalled ones.
   */
  private static final int MAX_STALLED_PERCENTS = 25;

  /**
   * Time before the first progress, as a fraction of the 0.9 quantile of the kind. A task seven
   * times as long as usual shows its first percents much earlier.
   */
  private static final double FIRST_PROGRESS_FRACTION = 0.4;

  /** Evidence from which on a kind's own distribution replaces the fixed fractions. */
  public static final int MIN_RUNS = 10;

  /** Ratio by which a run must exceed the quantile that it is compared with. */
  private static final double TAIL_MARGIN = 1.25;

  private static final double ALL_PERCENT = 100;

  /**
   * Ratio to the expected time below which no run counts as crawling while runs are slow
   * everywhere.
   */
  private static final double CHANGED_RATIO = 3.5;

  /** Where the other runs are slow, too. */
  public enum SlowRuns {
    /** Few runs are slow. */
    FEW,
    /** Most runs on the same worker are slow, and few elsewhere. */
    ON_WORKER,
    /** Many runs are slow on all workers: the tasks have changed. */
    EVERYWHERE
  }

  /** What is wrong with a run. */
  public enum Verdict {
    USUAL,
    STALLED,
    CRAWLING
  }

  /**
   * A run's progress, in milliseconds.
   *
   * @param percent the newest reported percentage
   * @param percentAfterMs time from the start order to the first report with that percentage
   * @param unchangedMs time from that report to the newest one
   * @param elapsedMs time since the start order
   */
  public record Progress(int percent, long percentAfterMs, long unchangedMs, long elapsedMs) {

    /** Returns whether the progress shows how long the run will take. */
    public boolean showsPace() {
      return percent > 0 && percentAfterMs >= MIN_STALL_MS;
    }

    /** Returns the total time at the pace so far. */
    public double projectedMs() {
      return percentAfterMs * ALL_PERCENT / Math.max(1, percent);
    }
  }

  private StragglerRule() {}

  /**
   * Judges a run.
   *
   * @param factor factor by which the distance from the data lengthens the run
   * @param isResumed whether the run began from a checkpoint, so that its pace is unknown
   * @param slowRuns where other runs are slow, too
   */
  public static Verdict judge(
      RunTimePrediction prediction,
      double factor,
      Progress progress,
      boolean isResumed,
      SlowRuns slowRuns) {
    if (progress.percent() < ALL_PERCENT
        && progress.unchangedMs()
            > Math.max(MIN_STALL_MS, stallLimitMs(prediction, factor, progress, isResumed))) {
      return Verdict.STALLED;
    }
    if (!progress.showsPace() || isResumed) {
      return Verdict.USUAL;
    }
    double remainingMs = progress.projectedMs() - progress.elapsedMs();
    boolean isCrawling =
        progress.projectedMs() > crawlLimitMs(prediction, factor, slowRuns)
            && remainingMs > prediction.expectedMs() * factor + MIN_GAIN_MS;
    return isCrawling ? Verdict.CRAWLING : Verdict.USUAL;
  }

  private static double stallLimitMs(
      RunTimePrediction prediction, double factor, Progress progress, boolean isResumed) {
    if (prediction.runs() < MIN_RUNS || isResumed) {
      return STALLED_FRACTION * prediction.expectedMs() * factor;
    }
    if (progress.percent() <= 0) {
      return FIRST_PROGRESS_FRACTION * prediction.highMs() * factor;
    }
    // The pace of the first percents may be wrong by the time between two reports.
    return Math.min(
        MAX_STALLED_PERCENTS * progress.projectedMs() / ALL_PERCENT,
        STALLED_FRACTION * prediction.tailMs() * factor);
  }

  private static double crawlLimitMs(
      RunTimePrediction prediction, double factor, SlowRuns slowRuns) {
    if (!prediction.hasEvidence()) {
      return prediction.tailMs() * factor;
    }
    boolean isHighKnown = prediction.runs() >= MIN_RUNS;
    double tailMs = TAIL_MARGIN * prediction.tailMs() * factor;
    return switch (slowRuns) {
      case FEW -> tailMs;
      case ON_WORKER -> isHighKnown ? TAIL_MARGIN * prediction.highMs() * factor : tailMs;
      case EVERYWHERE -> Math.max(tailMs, CHANGED_RATIO * prediction.expectedMs() * factor);
    };
  }
}
