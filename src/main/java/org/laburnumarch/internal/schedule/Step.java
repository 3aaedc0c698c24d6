package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.job.TaskKey;
import org.laburnumarch.internal.runtime.RunTimePrediction;
import org.laburnumarch.internal.runtime.RunTimes;

/** One step of one occurrence of a job. */
final class Step {

  final Job job;
  final int occurrence;
  final int number;
  final StepSpec spec;

  /** What each task needs of a worker. */
  final TaskSize size;

  final List<Task> tasks;
  int doneCount;

  /** Why the last round that considered the step left tasks of it waiting. */
  WaitReason lastRefusal = WaitReason.NOT_CONSIDERED;

  private RunTimePrediction prediction;
  private long predictedInGeneration = -1;

  Step(Job job, int occurrence, int number, StepSpec spec) {
    this.job = job;
    this.occurrence = occurrence;
    this.number = number;
    this.spec = spec;
    this.size = TaskSize.of(spec);
    List<Task> list = new ArrayList<>(spec.count());
    for (int i = 0; i < spec.count(); i++) {
      list.add(new Task(new TaskKey(job.spec.id(), occurrence, number, i), this));
    }
    this.tasks = List.copyOf(list);
  }

  /**
   * Returns the predicted run time of the tasks. Each round asks for it several times for each
   * waiting step, so it is computed anew only after enough has been learnt.
   */
  RunTimePrediction predict(RunTimes runTimes) {
    if (predictedInGeneration != runTimes.generation()) {
      predictedInGeneration = runTimes.generation();
      prediction = runTimes.predict(job.spec.queue(), spec);
    }
    return prediction;
  }

  boolean isDone() {
    return doneCount == tasks.size();
  }

  /** Returns the step's name in requests to the advisory service. */
  String wireName() {
    return job.spec.id() + '.' + occurrence + '.' + number;
  }

  /** Marks a task as done; a second call has no effect. */
  void markDone(Task task) {
    if (!task.isDone) {
      task.isDone = true;
      doneCount++;
    }
  }

  /** Returns the number of tasks that are not available. */
  int unavailableCount() {
    int count = 0;
    for (Task task : tasks) {
      if (task.attempt == null || !task.attempt.isAvailable()) {
        count++;
      }
    }
    return count;
  }
}
