package org.laburnumarch.internal.state;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeSet;

/**
 * Reassigns the allowance units of running tasks from departed members to the current owners of
 * their workers.
 */
final class TaskUnits {

  private TaskUnits() {}

  /**
   * Returns the state with departed unit holders replaced by the current owners.
   *
   * <p>Call this for the same record, after the allowance of the departed members has become
   * unassigned: units that a task still uses must not be assigned a second time. If the limit was
   * lowered in the meantime, fewer units may remain than the task uses; its new holder then starts
   * no task until its use is below its allowance.
   */
  static ControlState reassign(ControlState state, TreeSet<String> departed) {
    ControlState updated = state;
    for (TaskEntry task : state.taskTables().tasks().values()) {
      if (task.phase() == TaskPhase.STARTED && departed.contains(task.unitHolder())) {
        updated = reassign(updated, task);
      }
    }
    return updated;
  }

  private static ControlState reassign(ControlState state, TaskEntry task) {
    String holder = Rendezvous.owner(state, task.worker());
    AllowanceEntry entry = state.allowances().getOrElse(task.spec().team(), null);
    ControlState reassigned =
        state.withTaskTables(state.taskTables().withTask(task.withUnitHolder(holder)));
    if (entry == null || holder.isEmpty()) {
      return reassigned;
    }
    int units = Math.min(task.spec().units(), Math.max(0, entry.unassignedUnits()));
    SortedMap<String, Integer> base =
        units == 0
            ? entry.baseUnits()
            : entry.baseUnits().put(holder, entry.baseUnits().getOrElse(holder, 0) + units);
    AllowanceEntry moved =
        new AllowanceEntry(
            entry.team(),
            entry.epoch(),
            entry.limitUnits(),
            entry.unassignedUnits() - units,
            base.filterValues(count -> count != 0));
    return reassigned.withAllowances(reassigned.allowances().put(entry.team(), moved));
  }
}
