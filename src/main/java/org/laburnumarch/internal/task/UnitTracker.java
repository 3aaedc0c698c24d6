package org.laburnumarch.internal.task;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.TaskEntry;
import org.laburnumarch.internal.state.TaskPhase;
import org.laburnumarch.internal.state.TaskSpec;
import org.laburnumarch.spi.AttemptId;

/**
 * Tracks the units that attempts hold. An attempt holds its units until the log records its end.
 */
final class UnitTracker {

  private final UnitLimiter limiter;
  private final Map<AttemptId, TaskSpec> held = new HashMap<>();

  UnitTracker(UnitLimiter limiter) {
    this.limiter = limiter;
  }

  /** Acquires all units of an attempt or none. */
  boolean tryAcquire(AttemptId id, TaskSpec spec) {
    for (int acquired = 0; acquired < spec.units(); acquired++) {
      if (!limiter.tryAcquire(spec.team())) {
        release(spec.team(), acquired);
        return false;
      }
    }
    held.put(id, spec);
    return true;
  }

  /**
   * Releases the units of attempts that have ended, and adopts those that this member now holds
   * after another member departed.
   */
  void reconcile(ControlState state, String selfId, java.util.Set<AttemptId> pending) {
    for (Iterator<Map.Entry<AttemptId, TaskSpec>> it = held.entrySet().iterator(); it.hasNext(); ) {
      Map.Entry<AttemptId, TaskSpec> entry = it.next();
      if (!pending.contains(entry.getKey()) && !isHolder(state, selfId, entry.getKey())) {
        release(entry.getValue().team(), entry.getValue().units());
        it.remove();
      }
    }
    for (TaskEntry task : state.taskTables().tasks().values()) {
      AttemptId id = new AttemptId(task.task(), task.attempt());
      if (task.phase() == TaskPhase.STARTED
          && task.unitHolder().equals(selfId)
          && held.putIfAbsent(id, task.spec()) == null) {
        for (int unit = 0; unit < task.spec().units(); unit++) {
          limiter.adopt(task.spec().team());
        }
      }
    }
  }

  private static boolean isHolder(ControlState state, String selfId, AttemptId id) {
    return state
        .taskTables()
        .tasks()
        .get(id.task())
        .exists(
            task ->
                task.phase() == TaskPhase.STARTED
                    && task.attempt() == id.attempt()
                    && task.unitHolder().equals(selfId));
  }

  private void release(String team, int units) {
    for (int unit = 0; unit < units; unit++) {
      limiter.release(team);
    }
  }
}
