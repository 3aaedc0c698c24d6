package org.laburnumarch.internal.schedule;

import org.laburnumarch.internal.job.Resources;

/** One run of a task on one worker, from the start order until its end is known. */
final class Attempt {

  /** Percentage that a long-running task reports while it is at work. */
  private static final int PERCENT_AT_WORK = 100;

  /** State of a run as the owner knows it. */
  enum Phase {
    /** The start order has been sent and its reply is pending. */
    ORDERED,
    /** The start order got no reply; the worker may still execute it before its deadline. */
    UNANSWERED,
    /** The worker has confirmed that the run is going on. */
    RUNNING
  }

  final Task task;
  final Worker worker;
  final long run;
  final Resources reserved;
  final String checkpoint;

  Phase phase = Phase.ORDERED;

  /**
   * Local time at which the start was ordered, or of the report that first listed an adopted run.
   */
  final long orderedAtMs;

  /** Time on the worker's clock after which it no longer executes the start order. */
  final long startDeadlineClockMs;

  /** Local time at which the worker last confirmed an order for this run; -1 if it has not. */
  long confirmedAtMs = -1;

  /** Reading of the worker's clock in the reply that confirmed the start; -1 if there is none. */
  long confirmedClockMs = -1;

  /** Whether an earlier owner started the run. */
  boolean isAdopted;

  /** Whether a report of the worker's known incarnation has listed the run as going on. */
  boolean isListed;

  /**
   * Whether the start was confirmed by a later incarnation of the worker than the one known so far.
   */
  boolean isOfNextIncarnation;

  /** Whether the worker's known incarnation has certainly confirmed the start. */
  boolean isConfirmedByKnownIncarnation;

  /** Whether the worker has reported the run a while after its start. */
  boolean hasSurvivedStart;

  /**
   * Whether a report has shown that the run does not go on, but may have left out its end. The run
   * stays registered until the end is known.
   */
  boolean isEndUnlisted;

  /** Whether nothing else may start on the worker for now. */
  boolean isIsolated;

  /**
   * Whether a reply has confirmed the run and the worker has started again since, so that the next
   * report shows whether the run was lost with the earlier incarnation.
   */
  boolean isOfUnknownIncarnation;

  /**
   * Local time of the first of the last reports that should have listed the run and did not; -1 if
   * the last report listed it.
   */
  long absentSinceMs = -1;

  /**
   * Whether it is not known when the run began: an earlier owner started it, or the start order got
   * no reply.
   */
  boolean isStartUncertain;

  /** Whether the run is stopped because it made no progress, which its worker causes. */
  boolean isStalled;

  /** Whether the run should end, whatever becomes known of its start. */
  private boolean isUnwanted;

  /** Whether the run is stopped only because the outcome of its start is unknown. */
  private boolean isStoppedAsUnanswered;

  /**
   * Local time until which an unanswered start is looked up in the worker's reports before it is
   * stopped.
   */
  long lookUpDeadlineAtMs;

  /** Whether the worker has confirmed that the run is ending or will never start. */
  boolean isStopConfirmed;

  /** Local time before which the stop is not ordered again. */
  long nextStopAtMs;

  boolean isStopInFlight;

  /** Beginning of the worker's incarnation that was known when the stop was last ordered. */
  long stopOrderedToStartedEpochMs;

  int percent;

  /** Local time of the first report with the current percentage. */
  long percentChangedAtMs;

  /** Local time of the newest report that listed the run. */
  long reportedAtMs;

  long load = -1;

  Attempt(
      Task task,
      Worker worker,
      long run,
      Resources reserved,
      String checkpoint,
      long orderedAtMs,
      long startDeadlineClockMs) {
    this.task = task;
    this.worker = worker;
    this.run = run;
    this.reserved = reserved;
    this.checkpoint = checkpoint;
    this.orderedAtMs = orderedAtMs;
    this.startDeadlineClockMs = startDeadlineClockMs;
    this.percentChangedAtMs = orderedAtMs;
  }

  /**
   * Adapts the run to a new incarnation of its worker, which knows nothing of the stops that the
   * earlier one confirmed. An unanswered start may still reach the new one, so it is stopped there
   * too.
   */
  void onNextIncarnation() {
    isStopConfirmed = false;
    isListed = false;
    isOfUnknownIncarnation = phase == Phase.RUNNING;
    if (phase == Phase.UNANSWERED) {
      confirmedAtMs = -1;
      stopAsUnanswered();
    }
    isOfNextIncarnation = false;
    isConfirmedByKnownIncarnation = false;
    absentSinceMs = -1;
  }

  /**
   * Records that a report which should list the run or its end does not; returns whether that shows
   * that the run is over. A run that ends while the lists of a report are taken may be in neither,
   * so it must be absent from a second report, requested after the first. This holds for a start
   * without an answer too, because it may have begun.
   *
   * @param workerClockMs the worker's clock in that report
   * @param requestedAtMs local time at which it was requested
   */
  boolean isOverAfterAbsence(long workerClockMs, long requestedAtMs, long nowMs) {
    if (isOfUnknownIncarnation
        && workerClockMs < confirmedClockMs + clockAdvanceMs(requestedAtMs)) {
      // The incarnation that confirmed the run would have a higher clock by now.
      return true;
    }
    if (absentSinceMs < 0) {
      absentSinceMs = nowMs;
      return false;
    }
    return requestedAtMs > absentSinceMs;
  }

  /** Returns the least time by which the worker's clock has advanced since the confirmation. */
  private long clockAdvanceMs(long atMs) {
    return (long) Math.floor((atMs - confirmedAtMs) * Worker.SLOWEST_CLOCK);
  }

  /** Returns whether another complete report must show whether the run is over. */
  boolean isAbsenceUnproved() {
    return absentSinceMs >= 0 && !isEndUnlisted;
  }

  /** Makes the run end, whatever becomes known of its start. */
  void stop() {
    isUnwanted = true;
  }

  /** Makes the run end unless a report shows that it has begun before its stop is ordered. */
  void stopAsUnanswered() {
    isStoppedAsUnanswered = true;
  }

  /** Records that the run does not go on, so that it cannot crash its worker any more. */
  void onEndUnlisted() {
    isEndUnlisted = true;
    hasSurvivedStart = true;
    worker.endIsolation(this);
  }

  /** Returns whether the run should be stopped. */
  boolean isStopWanted() {
    return isUnwanted || isStoppedAsUnanswered;
  }

  /**
   * Records that a report has shown the outcome of the start: the run goes on. It is stopped all
   * the same if that is wanted for another reason, or if a stop may have reached the worker.
   */
  void onStartShown() {
    isUnwanted |= isStoppedAsUnanswered && (isStopInFlight || isStopConfirmed);
    isStoppedAsUnanswered = false;
  }

  /** Returns whether a suspect's run is awaited to show that it has survived its start. */
  boolean isSurvivalUnknown(long nowMs) {
    return task.isSuspect
        && !hasSurvivedStart
        && phase == Phase.RUNNING
        && nowMs - orderedAtMs >= RunTracker.START_SURVIVAL_MS;
  }

  /** Returns whether a report is awaited that shows whether an unanswered start has begun. */
  boolean isLookedUp() {
    return phase == Phase.UNANSWERED && !isStopWanted();
  }

  /** Returns whether nothing speaks against the run's going on. */
  boolean isKnownToRun() {
    return phase == Phase.RUNNING && !isDoubtful();
  }

  /**
   * Returns whether the run occupies capacity although it may be over, or may never have begun: its
   * start got no reply, it is being stopped, reports leave it out, or its worker does not report.
   */
  boolean isDoubtful() {
    return phase == Phase.UNANSWERED
        || isStopWanted()
        || isEndUnlisted
        || absentSinceMs >= 0
        || worker.missedReports > 0;
  }

  /** Returns the latest local time at which the run was known to go on; 0 if it never was. */
  long lastSeenRunningAtMs() {
    return phase == Phase.RUNNING ? Math.max(reportedAtMs, confirmedAtMs) : reportedAtMs;
  }

  /** Returns whether the newest report that listed the run showed it at work. */
  boolean isAtWork() {
    return percent >= PERCENT_AT_WORK;
  }

  /**
   * Returns whether the task counts as available. A long-running task does once it reports 100%, as
   * long as its worker goes on reporting: of a silent worker's task nobody knows.
   */
  boolean isAvailable() {
    return phase == Phase.RUNNING
        && !isStopWanted()
        && !isEndUnlisted
        && worker.missedReports == 0
        && (!task.step.spec.isLongRunning() || isAtWork());
  }
}
