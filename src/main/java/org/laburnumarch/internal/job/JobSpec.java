package org.laburnumarch.internal.job;

import java.util.List;

/**
 * A job as its caller submitted it. It does not change after it has been accepted.
 *
 * @param id the caller's identifier; a submission with the same id is the same job
 * @param queue name of the queue
 * @param team name of the team whose key came with the job; empty for public queues
 * @param program text that is passed to every task of the job
 * @param steps the steps, by number
 * @param repeatCount number of occurrences; 0 for a job that runs once and immediately
 * @param firstDueEpochMs when the first occurrence is due, in Unix milliseconds; ignored if
 *     repeatCount is 0
 * @param periodMs time between two occurrences, in milliseconds
 * @param submittedEpochMs when a daemon received the job, in Unix milliseconds
 * @param service the service whose pool ran the queue's tasks when the job was accepted; empty if
 *     that is not known
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
    long submittedEpochMs,
    String service) {

  /** Copies the list. */
  public JobSpec {
    steps = List.copyOf(steps);
  }

  /** Creates a job of an unknown service. */
  public JobSpec(
      String id,
      String queue,
      String team,
      String program,
      List<StepSpec> steps,
      int repeatCount,
      long firstDueEpochMs,
      long periodMs,
      long submittedEpochMs) {
    this(
        id,
        queue,
        team,
        program,
        steps,
        repeatCount,
        firstDueEpochMs,
        periodMs,
        submittedEpochMs,
        "");
  }

  /** Returns the same job, accepted while the pool of a service runs its queue's tasks. */
  public JobSpec withService(String acceptedService) {
    return new JobSpec(
        id,
        queue,
        team,
        program,
        steps,
        repeatCount,
        firstDueEpochMs,
        periodMs,
        submittedEpochMs,
        acceptedService);
  }

  /** Returns this job with other steps. */
  public JobSpec withSteps(List<StepSpec> otherSteps) {
    return new JobSpec(
        id,
        queue,
        team,
        program,
        otherSteps,
        repeatCount,
        firstDueEpochMs,
        periodMs,
        submittedEpochMs,
        service);
  }

  /** Returns the number of occurrences, at least 1. */
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

  /** Returns whether any step runs until the job is cancelled. */
  public boolean isLongRunning() {
    return steps.stream().anyMatch(StepSpec::isLongRunning);
  }
}
