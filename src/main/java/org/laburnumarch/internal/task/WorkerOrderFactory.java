package org.laburnumarch.internal.task;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.laburnumarch.internal.state.TaskClass;
import org.laburnumarch.internal.state.TaskEntry;
import org.laburnumarch.internal.state.WorkerEntry;
import org.laburnumarch.spi.AttemptId;
import org.laburnumarch.spi.WorkerOrder;
import org.laburnumarch.spi.WorkerReport;

/** Creates the order for a worker from the log and the last report of the worker. */
final class WorkerOrderFactory {

  private final String selfId;
  private final TaskTimes times;
  private final Preemption preemption;

  /** Attempts that this daemon has recorded as started, with its fencing token at that time. */
  private final Map<AttemptId, Long> ownStarts = new HashMap<>();

  WorkerOrderFactory(String selfId, TaskTimes times, Preemption preemption) {
    this.selfId = selfId;
    this.times = times;
    this.preemption = preemption;
  }

  void onStartsAppended(List<AttemptId> ids, long fencingToken) {
    ids.forEach(id -> ownStarts.put(id, fencingToken));
  }

  void forgetEnded(TaskIndex index, java.util.Set<AttemptId> pending) {
    ownStarts.keySet().removeIf(id -> !pending.contains(id) && index.isEndedOrUnknown(id));
  }

  WorkerOrder create(TaskIndex index, WorkerView view, long fencingToken, long authorityUntilMs) {
    return view.report()
        .map(report -> new Builder(index, view, report, fencingToken).build(authorityUntilMs))
        .orElseGet(() -> WorkerOrder.reportRequest(fencingToken));
  }

  private final class Builder {
    private final TaskIndex index;
    private final WorkerView view;
    private final WorkerReport report;
    private final long fencingToken;
    private final WorkerEntry worker;
    private final List<WorkerOrder.StartOrder> starts = new ArrayList<>();
    private final List<AttemptId> renewals = new ArrayList<>();
    private final List<AttemptId> stops = new ArrayList<>();
    private final List<AttemptId> checkpoints = new ArrayList<>();
    private final List<AttemptId> memoryLimits = new ArrayList<>();

    Builder(TaskIndex index, WorkerView view, WorkerReport report, long fencingToken) {
      this.index = index;
      this.view = view;
      this.report = report;
      this.fencingToken = fencingToken;
      this.worker = index.tables().workers().get(view.worker).get();
    }

    WorkerOrder build(long authorityUntilMs) {
      List<TaskEntry> started = index.startedOn(view.worker);
      Map<AttemptId, TaskClass> reliefClassByAttempt =
          MemoryPressureRelief.find(worker, report, started);
      for (TaskEntry task : started) {
        AttemptId id = TaskIndex.attemptIdOf(task);
        if (view.isRunning(id)) {
          controlRunning(task, id, reliefClassByAttempt.get(id));
        } else if (view.ended(id).isEmpty()) {
          startOrStop(task, id);
        }
      }
      report.running().stream()
          .map(WorkerReport.Running::id)
          .filter(index::isEndedOrUnknown)
          .forEach(stops::add);
      List<AttemptId> acknowledgedEnds =
          report.ended().stream()
              .map(WorkerReport.Ended::id)
              .filter(index::isEndedOrUnknown)
              .toList();
      return new WorkerOrder(
          fencingToken,
          report.incarnation(),
          report.createdAtWorkerMs() + times.leaseMs(),
          view.toWorkerClockMs(authorityUntilMs),
          starts,
          renewals,
          stops,
          checkpoints,
          memoryLimits,
          acknowledgedEnds);
    }

    private void controlRunning(TaskEntry task, AttemptId id, TaskClass reliefClass) {
      if (task.isCancelRequested() || reliefClass == TaskClass.EXPENDABLE) {
        stops.add(id);
        return;
      }
      renewals.add(id);
      if (preemption.isVictim(id) || reliefClass == TaskClass.CHECKPOINTABLE) {
        checkpoints.add(id);
      } else if (reliefClass == TaskClass.STEADY) {
        memoryLimits.add(id);
      }
    }

    /**
     * Starts or stops an attempt that the worker does not report.
     *
     * <p>Only the member that recorded the start sends it, and only while the set of members is
     * unchanged. Otherwise another owner may have stopped the attempt in between, and the worker
     * may already have forgotten that, so that it would start the attempt again.
     */
    private void startOrStop(TaskEntry task, AttemptId id) {
      Long fencingTokenAtStart = ownStarts.get(id);
      if (fencingTokenAtStart != null
          && fencingTokenAtStart == fencingToken
          && task.unitHolder().equals(selfId)
          && !task.isCancelRequested()
          && !index.isDataCentreOut(worker)) {
        starts.add(new WorkerOrder.StartOrder(id, task.spec().team(), task.spec().job()));
      } else {
        stops.add(id);
      }
    }
  }
}
