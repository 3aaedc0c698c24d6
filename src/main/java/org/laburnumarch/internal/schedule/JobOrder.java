package org.laburnumarch.internal.schedule;

import java.util.Comparator;
import java.util.List;
import org.laburnumarch.internal.job.QueueConfig;

/**
 * Orders the steps that wait for workers of one service. Answers a load above the pool's capacity:
 * what can still be in time goes before what is late already, so that an overload makes the fewest
 * jobs late.
 */
final class JobOrder {

  /** Urgency classes, the most urgent first. */
  enum Rank {
    /** Tasks that must always run. */
    LASTING,
    /** Can be done in time. */
    IN_TIME,
    /** Can be done in time, but its team has sent more than its share. */
    SURPLUS,
    /** Too late for the objective. */
    LATE
  }

  /**
   * A step with tasks that may start.
   *
   * @param step the step
   * @param queue the job's queue
   * @param rank the urgency class
   * @param hasStarted whether work has gone into its job already
   * @param dueMs local time by which the job should be done
   */
  record Candidate(Step step, QueueConfig queue, Rank rank, boolean hasStarted, double dueMs) {}

  /** Order in which candidates get workers. */
  static final Comparator<Candidate> ORDER =
      Comparator.comparing(Candidate::rank)
          .thenComparingInt(candidate -> candidate.queue().priority())
          .thenComparing(candidate -> !candidate.hasStarted())
          .thenComparingDouble(Candidate::dueMs);

  /** Part of the expected run time that a job may seem to miss its objective by. */
  private static final double TOLERANCE = 0.1;

  private final RunTimes runTimes;

  JobOrder(RunTimes runTimes) {
    this.runTimes = runTimes;
  }

  /** Builds the candidate for a step of an open occurrence. */
  Candidate candidate(Step step, List<Step> siblings, QueueConfig queue, long nowMs, long epochMs) {
    Job job = step.job;
    if (step.spec.isLongRunning()) {
      return new Candidate(step, queue, Rank.LASTING, job.hasStarted, job.submittedAtMs);
    }
    double chainMs = chainMs(siblings, queue, false);
    double remainingMs = chainMs(siblings, queue, true);
    long originMs =
        job.spec.isTimed()
            ? nowMs - Math.max(0, epochMs - job.spec.dueEpochMs(step.occurrence))
            : job.submittedAtMs;
    double dueMs = originMs + queue.stretch() * chainMs + queue.latencyTargetMs();
    boolean isInTime = nowMs + remainingMs <= dueMs + TOLERANCE * chainMs;
    Rank rank = isInTime ? (job.isSurplus ? Rank.SURPLUS : Rank.IN_TIME) : Rank.LATE;
    return new Candidate(step, queue, rank, job.hasStarted, dueMs);
  }

  /** Returns the expected time of the longest chain of steps, of all or of those not done. */
  double chainMs(List<Step> steps, QueueConfig queue, boolean onlyRemaining) {
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
      double ownMs =
          onlyRemaining && step.isDone() ? 0 : runTimes.expectedMs(queue.name(), step.spec);
      endsMs[i] = startMs + ownMs;
      longestMs = Math.max(longestMs, endsMs[i]);
    }
    return longestMs;
  }
}
