package org.laburnumarch.internal.job;

import java.util.List;

/**
 * What must outlive the process that schedules a job: final ends and failures of its tasks.
 *
 * @param id the job's id
 * @param status the job's status; only final ones are binding
 * @param steps the progress of each step that has any
 */
public record JobProgress(String id, JobStatus status, List<StepProgress> steps) {

  /** Copies the list. */
  public JobProgress {
    steps = List.copyOf(steps);
  }

  /**
   * The progress of one step of one occurrence.
   *
   * @param occurrence number of the occurrence
   * @param step number of the step
   * @param done bit set of the tasks that have ended well
   * @param failedRuns for each task with failed ends: its index, then the run numbers
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record StepProgress(int occurrence, int step, byte[] done, List<FailedRuns> failedRuns) {

    /** Copies the list. */
    public StepProgress {
      failedRuns = List.copyOf(failedRuns);
    }
  }

  /**
   * The failed ends of one task.
   *
   * @param index the task's number within its step
   * @param runs the numbers of the runs that failed
   */
  public record FailedRuns(int index, List<Long> runs) {

    /** Copies the list. */
    public FailedRuns {
      runs = List.copyOf(runs);
    }
  }
}
