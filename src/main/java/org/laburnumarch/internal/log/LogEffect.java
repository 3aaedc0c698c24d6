package org.laburnumarch.internal.log;

import org.laburnumarch.Refusal;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.RecordResult;

/** An action that a {@link LogFollower} requests from its caller, or an event that it reports. */
public sealed interface LogEffect {

  /** Read the log from an offset on; the caller reports back exactly one response or failure. */
  record Read(long fromOffset) implements LogEffect {}

  /** Append bytes to the log; the caller reports back exactly one response or failure. */
  @SuppressWarnings("ArrayRecordComponent") // Never compared.
  record Append(String operationId, byte[] bytes) implements LogEffect {}

  /** The result of a submitted operation is known. */
  record OperationCompleted(String operationId, RecordResult result) implements LogEffect {}

  /**
   * A submitted operation was abandoned. After its deadline: {@code LOG_UNAVAILABLE} if it
   * certainly did not reach the log, else {@code APPEND_OUTCOME_UNKNOWN}. Without an append: {@code
   * LOG_UNAVAILABLE} if too many operations are pending, or the refusal to encode it.
   */
  record OperationAbandoned(String operationId, Refusal refusal) implements LogEffect {}

  /** The state has advanced to a higher offset. */
  record StateChanged(ControlState state) implements LogEffect {}

  /**
   * A snapshot of {@code state} is due: encode it and submit a {@code SnapshotTaken} through offset
   * {@code state.nextOffset() - 1}.
   */
  record SnapshotDue(ControlState state) implements LogEffect {}

  /** An invariant is violated or an internal error occurred; report it to operators. */
  record AlarmRaised(Refusal refusal) implements LogEffect {}
}
