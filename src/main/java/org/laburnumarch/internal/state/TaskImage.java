package org.laburnumarch.internal.state;

import io.vavr.Tuple;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import java.util.List;

/** The canonical form of {@link TaskTables}. */
record TaskImage(
    List<TaskEntry> tasks,
    List<WorkerEntry> workers,
    List<String> endedTasks,
    long membershipOffset) {

  static TaskImage of(TaskTables tables) {
    return new TaskImage(
        tables.tasks().values().asJava(),
        tables.workers().values().asJava(),
        tables.endedTasks().asJava(),
        tables.membershipOffset());
  }

  TaskTables tables() {
    return new TaskTables(
        TreeMap.ofEntries(Vector.ofAll(tasks).map(e -> Tuple.of(e.task(), e))),
        TreeMap.ofEntries(Vector.ofAll(workers).map(e -> Tuple.of(e.worker(), e))),
        Vector.ofAll(endedTasks),
        membershipOffset);
  }
}
