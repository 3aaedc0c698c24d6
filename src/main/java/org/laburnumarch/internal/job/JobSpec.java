package org.laburnumarch.internal.job;

import java.util.List;

/**
 * A job as its caller submitted it. It never changes after it has been accepted.
 *
 * @param id the caller's identifier; the same id is the same job
 * @param queue name of the queue
 * @param team name of the team whose key came with the job; empty on queues open to all
 * @param program text that every task of the job is given
 * @param steps the steps, by number
 * @param repeatCount number of occurrences; 0 for a job that runs once at once
 * @param firstDueEpochMs when the first occurrence is due, in Unix milliseconds
 * @param periodMs time from one occurrence to the next
 * @param submittedEpochMs when a daemon received the job, in Unix milliseconds
 */
public record JobSpec(
    String id,
    String queue,
    String team,
    String program,
    List<StepSpec> steps,
    int repeatCount,
    long firstDueEpochMs,
    long periodMs,
    long submittedEpochMs) {

  /** Copies the list. */
  public JobSpec {
    steps = List.copyOf(steps);
  }

  /** Returns how many times the steps run. */
  public int occurrences() {
    return Math.max(1, repeatCount);
  }

  /** Returns whether the occurrences have due times. */
  public boolean isTimed() {
    return repeatCount > 0;
  }

  /** Returns when an occurrence may start, in Unix milliseconds. */
  public long dueEpochMs(int occurrence) {
    return isTimed() ? firstDueEpochMs + occurrence * periodMs : submittedEpochMs;
  }

  /** Returns whether any step lasts until the job is cancelled. */
  public boolean isLongRunning() {
    return steps.stream().anyMatch(StepSpec::isLongRunning);
  }
}
