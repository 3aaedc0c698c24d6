package org.laburnumarch.internal.task;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.DataCentreEntry;
import org.laburnumarch.internal.state.TaskEntry;
import org.laburnumarch.internal.state.TaskPhase;
import org.laburnumarch.internal.state.TaskTables;
import org.laburnumarch.internal.state.WorkerEntry;
import org.laburnumarch.spi.AttemptId;

/** Index of the tasks of one state: the waiting ones, and the started ones by worker. */
final class TaskIndex {

  final List<TaskEntry> waiting = new ArrayList<>();
  private final Map<String, List<TaskEntry>> startedByWorker = new HashMap<>();
  private final ControlState state;

  TaskIndex(ControlState state) {
    this.state = state;
    for (TaskEntry task : tables().tasks().values()) {
      if (task.phase() == TaskPhase.WAITING) {
        waiting.add(task);
      } else if (task.phase() == TaskPhase.STARTED) {
        startedByWorker.computeIfAbsent(task.worker(), key -> new ArrayList<>()).add(task);
      }
    }
  }

  static AttemptId attemptIdOf(TaskEntry task) {
    return new AttemptId(task.task(), task.attempt());
  }

  TaskTables tables() {
    return state.taskTables();
  }

  /** Returns whether this index was built from exactly this object; states are immutable. */
  boolean isIndexOf(Object other) {
    return other == state;
  }

  ControlState state() {
    return state;
  }

  List<TaskEntry> startedOn(String worker) {
    return startedByWorker.getOrDefault(worker, List.of());
  }

  boolean isDataCentreOut(WorkerEntry worker) {
    return state.dataCentres().get(worker.dataCentre()).exists(DataCentreEntry::isOut);
  }

  /** Returns whether an attempt is recorded as ended or its task is unknown. */
  boolean isEndedOrUnknown(AttemptId id) {
    TaskEntry task = tables().tasks().getOrElse(id.task(), null);
    return task == null
        || task.attempt() > id.attempt()
        || (task.attempt() == id.attempt() && task.phase() != TaskPhase.STARTED);
  }
}
