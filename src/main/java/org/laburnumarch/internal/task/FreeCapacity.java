package org.laburnumarch.internal.task;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.laburnumarch.internal.state.TaskEntry;
import org.laburnumarch.internal.state.TaskSize;
import org.laburnumarch.internal.state.TaskSpec;
import org.laburnumarch.internal.state.WorkerEntry;

/** Free capacity of those workers of this daemon that can get tasks now. */
final class FreeCapacity {

  private final Map<String, TaskSize> freeByWorker = new HashMap<>();
  private final Set<String> probes = new HashSet<>();
  private final TaskIndex index;
  private final JobSizeEstimator sizeEstimator;

  FreeCapacity(
      TaskIndex index,
      WorkerViews views,
      JobSizeEstimator sizeEstimator,
      long reportedSinceMs,
      long nowMs) {
    this.index = index;
    this.sizeEstimator = sizeEstimator;
    for (WorkerView view : views.all()) {
      WorkerEntry worker = index.tables().workers().get(view.worker).get();
      if (view.hasReportedSince(reportedSinceMs) && !index.isDataCentreOut(worker)) {
        add(worker, view, nowMs);
      }
    }
  }

  private void add(WorkerEntry worker, WorkerView view, long nowMs) {
    TaskSize remaining = worker.capacity();
    boolean isIdle = true;
    for (TaskEntry task : index.startedOn(worker.worker())) {
      if (view.ended(TaskIndex.attemptIdOf(task)).isEmpty()) {
        remaining = remaining.minus(sizeOn(worker, task.spec()));
        isIdle = false;
      }
    }
    if (worker.isQuarantined()) {
      if (!isIdle || !view.isProbeDue(worker.failedProbes(), nowMs)) {
        return;
      }
      probes.add(worker.worker());
    }
    freeByWorker.put(worker.worker(), remaining);
  }

  Set<String> workers() {
    return freeByWorker.keySet();
  }

  TaskSize of(String worker) {
    return freeByWorker.get(worker);
  }

  boolean isProbe(String worker) {
    return probes.contains(worker);
  }

  /**
   * Returns the size to reserve on a worker. An estimate of processors or memory above the capacity
   * of the worker is reduced to it, so that the task can still run.
   */
  TaskSize sizeOn(WorkerEntry worker, TaskSpec spec) {
    TaskSize estimate = sizeEstimator.estimate(spec);
    return new TaskSize(
        Math.min(estimate.milliProcessors(), worker.capacity().milliProcessors()),
        Math.min(estimate.memoryMb(), worker.capacity().memoryMb()),
        estimate.accelerators());
  }

  TaskSize sizeOn(String worker, TaskSpec spec) {
    return sizeOn(index.tables().workers().get(worker).get(), spec);
  }

  /** Reserves capacity for a task. A worker that is being probed gets no second task. */
  void reserve(String worker, TaskSpec spec) {
    if (probes.contains(worker)) {
      freeByWorker.remove(worker);
      return;
    }
    freeByWorker.put(worker, freeByWorker.get(worker).minus(sizeOn(worker, spec)));
  }

  void exclude(String worker) {
    freeByWorker.remove(worker);
  }
}
