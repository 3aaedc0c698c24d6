package org.laburnumarch.internal.job;

import java.util.List;

/**
 * The stored progress of a job, from which a later owner continues: its tasks that are done and
 * their failed runs.
 *
 * @param id the job's id
 * @param status the job's status; a later owner relies on it only if it is final
 * @param steps the progress of each step that has made any
 * @param crashedTasks the unfinished tasks under which processes of workers have ended
 * @param laterServices the services whose pools may have runs of the job's tasks, besides the one
 *     that the job was accepted for
 * @param isSubmitted whether the job has been submitted; false if only its cancellation has arrived
 */
public record JobProgress(
    String id,
    JobStatus status,
    List<StepProgress> steps,
    List<CrashedTask> crashedTasks,
    List<String> laterServices,
    boolean isSubmitted) {

  /** Copies the lists. */
  public JobProgress {
    steps = List.copyOf(steps);
    crashedTasks = List.copyOf(crashedTasks);
    laterServices = List.copyOf(laterServices);
  }

  /** Creates the progress of a submitted job. */
  public JobProgress(
      String id,
      JobStatus status,
      List<StepProgress> steps,
      List<CrashedTask> crashedTasks,
      List<String> laterServices) {
    this(id, status, steps, crashedTasks, laterServices, true);
  }

  /** Creates the progress of a job whose queue has stayed with one service. */
  public JobProgress(
      String id, JobStatus status, List<StepProgress> steps, List<CrashedTask> crashedTasks) {
    this(id, status, steps, crashedTasks, List.of());
  }

  /** Creates the progress of such a job whose tasks have crashed no worker. */
  public JobProgress(String id, JobStatus status, List<StepProgress> steps) {
    this(id, status, steps, List.of());
  }

  /**
   * The progress of one step of one occurrence.
   *
   * @param occurrence number of the occurrence
   * @param step number of the step; -1 if the whole occurrence is done
   * @param done bit set of the tasks that are done, by index
   * @param failedRuns the failed runs of each task that has any
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record StepProgress(int occurrence, int step, byte[] done, List<FailedRuns> failedRuns) {

    /** Copies the list. */
    public StepProgress {
      failedRuns = List.copyOf(failedRuns);
    }
  }

  /**
   * A task under which processes of workers have ended.
   *
   * @param occurrence number of the occurrence
   * @param step number of the step
   * @param index the task's number within its step
   * @param crashes how many processes have ended
   * @param isSuspect whether the task may be the cause
   */
  public record CrashedTask(int occurrence, int step, int index, int crashes, boolean isSuspect) {}

  /**
   * The failed runs of one task.
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
