package org.laburnumarch.internal.schedule;

import org.laburnumarch.internal.job.Resources;

/** One run of a task on one worker, from its order until its end is known. */
final class Attempt {

  /** How far a run is. */
  enum Phase {
    /** The start has been ordered and not answered. */
    ORDERED,
    /** No answer came to the start; it may be obeyed at any time before its deadline. */
    UNANSWERED,
    /** The worker has said that it runs. */
    RUNNING
  }

  final Task task;
  final Worker worker;
  final long run;
  final Resources reserved;
  final String checkpoint;

  Phase phase = Phase.ORDERED;

  /** Local time of the order, or of the report in which the run was found. */
  final long orderedAtMs;

  /** Time on the worker's clock from which the start is not obeyed any more. */
  final long startDeadlineClockMs;

  /** The worker's clock when it last confirmed an order for this run; -1 before. */
  long confirmedClockMs = -1;

  /** Whether a life of the worker that is not known yet has confirmed the start. */
  boolean isOfNextLife;

  /** Whether the run is to end. */
  boolean isStopWanted;

  /** Whether the worker has confirmed that the run ends or never starts. */
  boolean isStopConfirmed;

  /** Local time before which the stop is not ordered again. */
  long nextStopAtMs;

  boolean isStopInFlight;

  int percent;

  /** Local time of the first report that showed the present percentage. */
  long percentChangedAtMs;

  /** Local time of the newest report that showed the run. */
  long shownAtMs;

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

  /** Returns whether the task counts as doing its work. */
  boolean isAtWork() {
    return phase == Phase.RUNNING
        && !isStopWanted
        && (!task.step.spec.isLongRunning() || percent >= 100);
  }
}
