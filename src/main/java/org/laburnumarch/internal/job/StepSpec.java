package org.laburnumarch.internal.job;

import java.util.List;

/**
 * One step of a job: a number of identical tasks.
 *
 * @param count number of tasks
 * @param need the resources that each task needs
 * @param estimatedRunMs the caller's rough estimate of one task's run time, in milliseconds
 * @param after numbers of the earlier steps that must be done first
 * @param isCheckpointing whether the tasks save checkpoints
 * @param isGang whether the tasks make progress only while all of them run
 * @param isRackSensitive whether the tasks run slower when they are on several racks
 * @param requiredLabel label that the worker must have; empty for any
 * @param dataRack rack that holds the tasks' data; empty for none
 * @param maxPerWorker maximum number of tasks of one occurrence on one worker; 0 for no limit
 * @param isSpeculative whether the caller allows several runs of a task at the same time
 * @param isLongRunning whether the tasks run until the job is cancelled
 * @param image name of the program that the tasks run; tasks with the same image behave alike
 * @param tailLatencyTargetMs tail latency that a serving task must stay below, in milliseconds; 0
 *     if it does not serve requests
 * @param isFiller whether the tasks use only processor time that other tasks leave unused
 * @param maxUnavailable maximum number of tasks of the step that the system may make unavailable at
 *     the same time; 0 if the caller set no limit
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
    long tailLatencyTargetMs,
    boolean isFiller,
    int maxUnavailable) {

  /** Copies the list. */
  public StepSpec {
    after = List.copyOf(after);
  }

  /** Returns a step of tasks that end by themselves, with default values for everything else. */
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
  public static StepSpec ofLongRunningTasks(
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

  /** Returns this step with a limit of its tasks on one worker. */
  public StepSpec withMaxPerWorker(int limit) {
    return new StepSpec(
        count,
        need,
        estimatedRunMs,
        after,
        isCheckpointing,
        isGang,
        isRackSensitive,
        requiredLabel,
        dataRack,
        limit,
        isSpeculative,
        isLongRunning,
        image,
        tailLatencyTargetMs,
        isFiller,
        maxUnavailable);
  }

  /**
   * Returns the resources that a task reserves on its worker; a filler reserves no processor time.
   */
  public Resources reserved() {
    return isFiller ? new Resources(0, need.memoryMb(), need.gpus()) : need;
  }
}
