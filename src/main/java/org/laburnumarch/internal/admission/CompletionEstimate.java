package org.laburnumarch.internal.admission;

import java.util.HashMap;
import java.util.Map;
import org.laburnumarch.internal.admission.PoolBacklog.WaitingJob;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.share.PoolShares;

/**
 * Estimates the earliest time at which a submitted job can be done, behind the work that goes
 * before it by urgency and by the teams' shares. Made for demand of several times what the pool
 * holds: what arrives later is left out, and so is all work that might go after the job.
 */
final class CompletionEstimate {

  private static final double MS_PER_S = 1_000;

  private final Submission submission;
  private final double runTimeFactor;
  private final Resources room;
  private final boolean willBeAgreed;

  /**
   * Creates an estimate.
   *
   * @param runTimeFactor factor on all expected run times
   */
  CompletionEstimate(Submission submission, double runTimeFactor) {
    this.submission = submission;
    this.runTimeFactor = runTimeFactor;
    this.room = submission.backlog().room();
    this.willBeAgreed = willBeAgreed();
  }

  /** Returns whether the job has credit, or gets it before its deadline. */
  private boolean willBeAgreed() {
    WaitingJob job = submission.job();
    long before =
        submission.backlog().waiting().stream()
            .filter(other -> other.team().equals(job.team()) && !other.isAgreed())
            .filter(other -> !other.isLate() && other.deadlineAtMs() <= job.deadlineAtMs())
            .count();
    double missing = before + 1 - submission.credit();
    double jobsPerS = submission.weights().jobsPerS(job.team());
    return missing <= 0 || missing / jobsPerS * MS_PER_S <= submission.objectiveMs();
  }

  /** Returns the time from now until the job is done, in milliseconds, if nothing is ahead. */
  double aloneMs() {
    return runTimeFactor * Math.max(submission.chainMs(), submission.job().work().msIn(room));
  }

  /** Returns the time from now until the job is done, in milliseconds. */
  double doneInMs() {
    double inTimeMs = behind(aheadWork(false));
    // A job that misses its objective goes behind all late work.
    return inTimeMs <= submission.objectiveMs() ? inTimeMs : behind(aheadWork(true));
  }

  private double behind(Work ahead) {
    // The job may start while the last tasks before it still run.
    double slackMs = submission.backlog().longestTaskMs();
    Work before = submission.backlog().running().plus(ahead);
    double startMs = Math.max(0, before.msIn(room) - slackMs);
    double allMs = before.plus(submission.job().work()).msIn(room) - slackMs;
    return Math.max(aloneMs(), runTimeFactor * Math.max(startMs + submission.chainMs(), allMs));
  }

  /**
   * Returns the work that certainly goes before the job.
   *
   * @param isLate whether the job will be late by then
   */
  private Work aheadWork(boolean isLate) {
    WaitingJob job = submission.job();
    Work ahead = Work.NONE;
    Work own = Work.NONE;
    Map<String, Work> others = new HashMap<>();
    for (WaitingJob other : submission.backlog().waiting()) {
      if ((other.isLate() && !isLate) || other.priority() > job.priority()) {
        continue;
      }
      boolean isBefore = other.hasStarted() || other.deadlineAtMs() <= job.deadlineAtMs();
      if (other.priority() < job.priority()) {
        ahead = ahead.plus(other.work());
      } else if (other.team().equals(job.team())) {
        own = goesBeforeInTeam(other, isBefore) ? own.plus(other.work()) : own;
      } else if (other.isAgreed() && !willBeAgreed) {
        ahead = ahead.plus(other.work());
      } else if (other.isAgreed() == willBeAgreed && (isBefore || !willBeAgreed)) {
        others.merge(other.team(), other.work(), Work::plus);
      }
    }
    ahead = ahead.plus(own);
    double ownMs = own.plus(job.work()).msIn(room);
    for (Map.Entry<String, Work> entry : others.entrySet()) {
      double possibleMs = possibleMs(entry.getKey(), ownMs);
      double wantedMs = entry.getValue().msIn(room);
      if (wantedMs > 0) {
        ahead = ahead.plus(entry.getValue().times(Math.min(1, possibleMs / wantedMs)));
      }
    }
    return ahead;
  }

  private boolean goesBeforeInTeam(WaitingJob other, boolean isBefore) {
    if (other.isAgreed()) {
      return isBefore || !willBeAgreed;
    }
    // A job that can still be in time gets the next credit of the team.
    return isBefore && (!willBeAgreed || !other.isLate());
  }

  /**
   * Returns how much of the pool's time another team can get in the same class before the job,
   * while the job's team gets {@code ownMs} of it.
   */
  private double possibleMs(String team, double ownMs) {
    double ownShare = submission.weights().shareFraction(submission.job().team());
    double share = submission.weights().shareFraction(team);
    if (ownShare <= 0) {
      return Double.MAX_VALUE;
    }
    Map<String, Double> debtsMs = submission.backlog().debtsMs();
    double leadMs =
        debtsMs.getOrDefault(submission.job().team(), 0.0) - debtsMs.getOrDefault(team, 0.0);
    double agreedLeadMs = willBeAgreed ? PoolShares.MAX_AGREED_DEBT_MS : 0;
    // Debts are times of the pool, but all work is scaled by the factor on run times afterwards.
    return Math.max(0, share * (ownMs / ownShare + (leadMs + agreedLeadMs) / runTimeFactor));
  }
}
