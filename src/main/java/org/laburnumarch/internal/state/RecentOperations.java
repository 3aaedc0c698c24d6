package org.laburnumarch.internal.state;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;

/** Stores the results of recent operations, so that a duplicate of a record is detected. */
final class RecentOperations {

  static final int MAX_OPERATIONS = 10_000;
  static final long MAX_AGE_MS = 24L * 60 * 60 * 1_000;

  private RecentOperations() {}

  static ControlState add(ControlState state, RecordResult result) {
    Map<String, RecordResult> operations = state.operations().put(result.operationId(), result);
    Vector<OperationTime> times =
        state
            .operationTimes()
            .append(new OperationTime(result.operationId(), state.logTimeEpochMs()));
    long oldestEpochMs = state.logTimeEpochMs() - MAX_AGE_MS;
    int dropped = Math.max(0, times.size() - MAX_OPERATIONS);
    while (dropped < times.size() && times.get(dropped).judgedAtEpochMs() < oldestEpochMs) {
      dropped++;
    }
    for (int i = 0; i < dropped; i++) {
      operations = operations.remove(times.get(i).operationId());
    }
    return state.withOperations(operations, times.drop(dropped));
  }
}
