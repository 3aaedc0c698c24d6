package org.laburnumarch.internal.state;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;

/**
 * The tables of tasks and workers.
 *
 * @param endedTasks ids of tasks with a final result, oldest first; at most {@link
 *     #MAX_ENDED_TASKS}
 * @param membershipOffset offset of the last record that changed the set of active members; it is
 *     the fencing token of owners and never decreases
 */
public record TaskTables(
    SortedMap<String, TaskEntry> tasks,
    SortedMap<String, WorkerEntry> workers,
    Vector<String> endedTasks,
    long membershipOffset) {

  /** The maximum number of tasks without a final result; more are refused. */
  public static final int MAX_OPEN_TASKS = 10_000;

  /** The maximum number of final results that are kept for callers that ask again. */
  public static final int MAX_ENDED_TASKS = 2_000;

  /** Returns tables without entries. */
  public static TaskTables empty() {
    return new TaskTables(TreeMap.empty(), TreeMap.empty(), Vector.empty(), -1);
  }

  /** Returns the number of tasks without a final result. */
  public int openCount() {
    return tasks.size() - endedTasks.size();
  }

  TaskTables withTask(TaskEntry entry) {
    return new TaskTables(tasks.put(entry.task(), entry), workers, endedTasks, membershipOffset);
  }

  /**
   * Returns the tables with a final result; the oldest results beyond {@link #MAX_ENDED_TASKS} are
   * removed.
   */
  TaskTables withEnded(TaskEntry entry) {
    SortedMap<String, TaskEntry> kept = tasks.put(entry.task(), entry);
    Vector<String> ended = endedTasks.append(entry.task());
    while (ended.size() > MAX_ENDED_TASKS) {
      kept = kept.remove(ended.head());
      ended = ended.tail();
    }
    return new TaskTables(kept, workers, ended, membershipOffset);
  }

  TaskTables withTasks(SortedMap<String, TaskEntry> newTasks) {
    return new TaskTables(newTasks, workers, endedTasks, membershipOffset);
  }

  TaskTables withWorker(WorkerEntry entry) {
    return new TaskTables(tasks, workers.put(entry.worker(), entry), endedTasks, membershipOffset);
  }

  TaskTables withoutWorker(String worker) {
    return new TaskTables(tasks, workers.remove(worker), endedTasks, membershipOffset);
  }

  /** Sets the fencing token to {@code offset} if the record changed the set of active members. */
  static ControlState updateMembershipOffset(ControlState before, ControlState after, long offset) {
    if (before.members() == after.members() || activeIds(before).equals(activeIds(after))) {
      return after;
    }
    TaskTables tables = after.taskTables();
    return after.withTaskTables(
        new TaskTables(tables.tasks, tables.workers, tables.endedTasks, offset));
  }

  private static io.vavr.collection.Set<String> activeIds(ControlState state) {
    return state.members().filterValues(MemberEntry::isActive).keySet();
  }
}
