package org.laburnumarch.internal.schedule;

import java.util.Comparator;
import java.util.List;
import org.laburnumarch.internal.job.QueueConfig;
import org.laburnumarch.internal.runtime.RunTimes;

/**
 * Ranks the steps that wait for workers of one service. Work that can still meet its objective goes
 * before work that is already late, so that an overload makes as few jobs late as possible.
 */
final class CandidateRanking {

  /** Urgency classes, most urgent first. */
  enum Rank {
    /** Long-running tasks, which must always run. */
    LONG_RUNNING,
    /** Can meet its objective. */
    IN_TIME,
    /** Can no longer meet its objective. */
    LATE
  }

  /**
   * A step with tasks that may start.
   *
   * @param step the step
   * @param queue the job's queue
   * @param rank the urgency class
   * @param hasStarted whether any task of its job has started
   * @param deadlineAtMs local time by which the job must be done to meet its objective
   */
  record Candidate(
      Step step, QueueConfig queue, Rank rank, boolean hasStarted, double deadlineAtMs) {}

  /** Order in which candidates are given workers. */
  static final Comparator<Candidate> BY_URGENCY =
      Comparator.comparing(Candidate::rank)
          .thenComparingInt(candidate -> candidate.queue().priority())
          .thenComparing(candidate -> !candidate.hasStarted())
          .thenComparingDouble(Candidate::deadlineAtMs);

  /**
   * Fraction of the expected run time by which a job may miss its objective and still count as in
   * time, since run times are estimates.
   */
  private static final double LATENESS_TOLERANCE = 0.1;

  private final RunTimes runTimes;

  CandidateRanking(RunTimes runTimes) {
    this.runTimes = runTimes;
  }

  /** Builds the candidate for a step of a due occurrence. */
  Candidate candidate(Step step, List<Step> siblings, QueueConfig queue, long nowMs, long epochMs) {
    Job job = step.job;
    if (step.spec.isLongRunning()) {
      return new Candidate(step, queue, Rank.LONG_RUNNING, job.hasStarted, job.submittedAtMs);
    }
    double chainMs = chainMs(siblings, false);
    double remainingMs = chainMs(siblings, true);
    long originMs =
        job.spec.isTimed()
            ? nowMs - Math.max(0, epochMs - job.spec.dueEpochMs(step.occurrence))
            : job.submittedAtMs;
    double deadlineAtMs = originMs + queue.stretch() * chainMs + queue.latencyTargetMs();
    boolean isInTime = nowMs + remainingMs <= deadlineAtMs + LATENESS_TOLERANCE * chainMs;
    Rank rank = isInTime ? Rank.IN_TIME : Rank.LATE;
    return new Candidate(step, queue, rank, job.hasStarted, deadlineAtMs);
  }

  /**
   * Returns the predicted time of the longest chain of dependent steps, in milliseconds, by the
   * medians of the steps. The mean would let a few long tasks of a kind delay the deadlines of all
   * its jobs.
   *
   * @param onlyRemaining whether steps that are done count as zero
   */
  double chainMs(List<Step> steps, boolean onlyRemaining) {
    double[] endsMs = new double[steps.size()];
    double longestMs = 0;
    for (int i = 0; i < steps.size(); i++) {
      Step step = steps.get(i);
      double startMs = 0;
      for (int earlier : step.spec.after()) {
        // A step can only follow earlier ones, so their ends are known by now.
        if (earlier < i) {
          startMs = Math.max(startMs, endsMs[earlier]);
        }
      }
      double ownMs = onlyRemaining && step.isDone() ? 0 : step.predict(runTimes).medianMs();
      endsMs[i] = startMs + ownMs;
      longestMs = Math.max(longestMs, endsMs[i]);
    }
    return longestMs;
  }
}
