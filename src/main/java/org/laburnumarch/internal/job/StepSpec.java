package org.laburnumarch.internal.job;

import java.util.List;

/**
 * One step of a job: a number of equal tasks.
 *
 * @param count number of tasks
 * @param need what each task reserves on its worker
 * @param estimatedRunMs the caller's rough estimate of one task's run time
 * @param after numbers of the earlier steps whose tasks must all be done first
 * @param isCheckpointing whether the tasks save their progress
 * @param isGang whether the tasks work only while all of them are present
 * @param isRackSensitive whether the tasks slow down when they spread over racks
 * @param requiredLabel label that the worker must have; empty for any
 * @param dataRack rack where the data is; empty for none
 * @param maxPerWorker most tasks of one occurrence on one worker; 0 for no limit
 * @param isSpeculative whether copies may run in parallel
 * @param isLongRunning whether the tasks run until the job is cancelled
 * @param image what the tasks run; tasks of one image behave alike
 * @param tailTargetMs response time that a serving task must stay below; 0 if it serves nobody
 * @param isFiller whether the tasks use only processor time that others leave
 * @param maxUnavailable tasks of the step that the system may make unavailable at the same time; 0
 *     for no such limit
 */
public record StepSpec(
    int count,
    Resources need,
    long estimatedRunMs,
    List<Integer> after,
    boolean isCheckpointing,
    boolean isGang,
    boolean isRackSensitive,
    String requiredLabel,
    String dataRack,
    int maxPerWorker,
    boolean isSpeculative,
    boolean isLongRunning,
    String image,
    long tailTargetMs,
    boolean isFiller,
    int maxUnavailable) {

  /** Copies the list. */
  public StepSpec {
    after = List.copyOf(after);
  }

  /** Returns a step of tasks that end and ask for nothing but room. */
  public static StepSpec ofTasks(
      int count, Resources need, long estimatedRunMs, List<Integer> after) {
    return new StepSpec(
        count,
        need,
        estimatedRunMs,
        after,
        false,
        false,
        false,
        "",
        "",
        0,
        false,
        false,
        "",
        0,
        false,
        0);
  }

  /** Returns a step of tasks that run until their job is cancelled. */
  public static StepSpec ofLastingTasks(
      int count, Resources need, String image, int maxPerWorker, int maxUnavailable) {
    return new StepSpec(
        count,
        need,
        0,
        List.of(),
        false,
        false,
        false,
        "",
        "",
        maxPerWorker,
        false,
        true,
        image,
        0,
        false,
        maxUnavailable);
  }

  /** Returns what a task takes of its worker's capacity. */
  public Resources reserved() {
    return isFiller ? new Resources(0, need.memoryMb(), need.gpus()) : need;
  }
}
