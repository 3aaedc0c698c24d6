package org.laburnumarch.internal.task;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.Rendezvous;
import org.laburnumarch.internal.state.WorkerEntry;

/** Views of the workers that this daemon owns while the set of members stays the same. */
final class WorkerViews {

  private final String selfId;
  private final Map<String, WorkerView> views = new HashMap<>();
  private io.vavr.collection.SortedMap<String, WorkerEntry> knownWorkers;
  private long fencingToken = Long.MIN_VALUE;

  WorkerViews(String selfId) {
    this.selfId = selfId;
  }

  /**
   * Adds and removes views according to the state. Must only be called with authority.
   *
   * <p>Every change of the members discards all views and so restarts the takeover wait, even if
   * this daemon still owns the worker: another member may have owned it in between.
   */
  void update(ControlState state, long nowMs) {
    long newFencingToken = state.taskTables().membershipOffset();
    if (newFencingToken != fencingToken) {
      views.clear();
      knownWorkers = null;
      fencingToken = newFencingToken;
    }
    var workers = state.taskTables().workers();
    if (workers == knownWorkers) {
      return;
    }
    views.keySet().removeIf(worker -> !workers.containsKey(worker));
    for (String worker : workers.keySet()) {
      if (!views.containsKey(worker) && Rendezvous.owner(state, worker).equals(selfId)) {
        views.put(worker, new WorkerView(worker, nowMs));
      }
    }
    knownWorkers = workers;
  }

  long fencingToken() {
    return fencingToken;
  }

  WorkerView find(String worker) {
    return views.get(worker);
  }

  Collection<WorkerView> all() {
    return views.values();
  }
}
