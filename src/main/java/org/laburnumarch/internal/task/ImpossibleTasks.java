package org.laburnumarch.internal.task;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.laburnumarch.internal.state.AttemptEnd;
import org.laburnumarch.internal.state.Rendezvous;
import org.laburnumarch.internal.state.TaskEnd;
import org.laburnumarch.internal.state.TaskEntry;
import org.laburnumarch.internal.state.WorkerEntry;

/**
 * Finds tasks that can never start, since they exceed every worker or the upper limit of their
 * team.
 */
final class ImpossibleTasks {

  private final String selfId;
  private final Set<String> checkedTasks = new HashSet<>();
  private Object checkedWorkers;
  private Object checkedText;
  private Object checkedMembers;

  ImpossibleTasks(String selfId) {
    this.selfId = selfId;
  }

  List<TaskEnd> find(TaskIndex index) {
    clearIfInputsChanged(index);
    List<TaskEnd> ends = new ArrayList<>();
    if (index.tables().workers().isEmpty()) {
      return ends;
    }
    for (TaskEntry task : index.waiting) {
      if (checkedTasks.add(task.task())
          && Rendezvous.owner(index.state(), task.task()).equals(selfId)
          && !isPossible(index, task)) {
        checkedTasks.remove(task.task());
        ends.add(new TaskEnd(task.task(), task.attempt(), AttemptEnd.IMPOSSIBLE));
      }
    }
    return ends;
  }

  private void clearIfInputsChanged(TaskIndex index) {
    if (checkedWorkers != index.tables().workers()
        || checkedText != index.state().text()
        || checkedMembers != index.state().members()) {
      checkedTasks.clear();
      checkedWorkers = index.tables().workers();
      checkedText = index.state().text();
      checkedMembers = index.state().members();
    }
  }

  private static boolean isPossible(TaskIndex index, TaskEntry task) {
    int limitUnits =
        index
            .state()
            .text()
            .flatMap(text -> text.teams().get(task.spec().team()).toJavaOptional())
            .map(team -> team.upperLimitUnits())
            .orElse(0);
    return task.spec().units() <= limitUnits
        && index
            .tables()
            .workers()
            .values()
            .map(WorkerEntry::capacity)
            .exists(task.spec().size()::fitsInto);
  }
}
