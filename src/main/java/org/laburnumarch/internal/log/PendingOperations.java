package org.laburnumarch.internal.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.state.ControlState;

/**
 * Appends submitted records to the log so that each takes effect once.
 *
 * <p>An append whose response was lost is repeated only after the log was read up to the tail that
 * it had after the failure. A copy that arrives even later is recognised by its operation id.
 */
final class PendingOperations {

  static final int MAX_PENDING = 1_000;
  static final long RESEND_DELAY_MS = 200;

  private final Map<String, PendingOperation> pending = new LinkedHashMap<>();

  /** Starts an operation, or returns its result if it is already known. */
  List<LogEffect> submit(ControlState state, String operationId, byte[] bytes, long deadlineMs) {
    if (state.operations().containsKey(operationId)) {
      return List.of(completionOf(state, operationId));
    }
    if (pending.containsKey(operationId)) {
      return List.of();
    }
    if (pending.size() >= MAX_PENDING) {
      return List.of(
          new LogEffect.OperationAbandoned(
              operationId,
              Refusal.retryable(
                  ResultCode.LOG_UNAVAILABLE,
                  "%d operations are already waiting for the log; this one was not sent"
                      .formatted(MAX_PENDING),
                  1_000)));
    }
    pending.put(operationId, new PendingOperation(operationId, bytes, deadlineMs));
    return List.of(new LogEffect.Append(operationId, bytes));
  }

  void appended(String operationId) {
    PendingOperation operation = pending.get(operationId);
    if (operation != null) {
      operation.stage = PendingOperation.Stage.IN_LOG;
      operation.mayBeInLog = true;
    }
  }

  void failed(String operationId, boolean mayHaveTakenEffect, long nowMs) {
    PendingOperation operation = pending.get(operationId);
    if (operation != null) {
      operation.failed(mayHaveTakenEffect, nowMs);
    }
  }

  void recordTail(long tailOffset, long readSentAtMs) {
    pending.values().forEach(operation -> operation.recordTail(tailOffset, readSentAtMs));
  }

  /** Returns the result of an operation in the state if it was submitted here. */
  List<LogEffect> complete(ControlState state, String operationId) {
    return pending.remove(operationId) == null
        ? List.of()
        : List.of(completionOf(state, operationId));
  }

  /** Returns the results of all operations that an installed state contains. */
  List<LogEffect> completeAll(ControlState state) {
    List<LogEffect> effects = new ArrayList<>();
    for (String operationId : List.copyOf(pending.keySet())) {
      if (state.operations().containsKey(operationId)) {
        effects.addAll(complete(state, operationId));
      }
    }
    return effects;
  }

  /**
   * Abandons operations after their deadline, and repeats failed appends that had no effect as far
   * as the log has been read.
   */
  List<LogEffect> abandonOrResend(ControlState state, long nowMs) {
    List<LogEffect> effects = new ArrayList<>();
    for (PendingOperation operation : List.copyOf(pending.values())) {
      if (nowMs >= operation.deadlineMs) {
        pending.remove(operation.operationId);
        effects.add(
            new LogEffect.OperationAbandoned(operation.operationId, abandonedRefusal(operation)));
      } else if (operation.isResendDue(state.nextOffset(), nowMs, RESEND_DELAY_MS)) {
        operation.stage = PendingOperation.Stage.SENT;
        effects.add(new LogEffect.Append(operation.operationId, operation.bytes));
      }
    }
    return effects;
  }

  private static Refusal abandonedRefusal(PendingOperation operation) {
    boolean mayBeInLog = operation.mayBeInLog || operation.stage == PendingOperation.Stage.SENT;
    return mayBeInLog
        ? Refusal.retryable(
            ResultCode.APPEND_OUTCOME_UNKNOWN,
            "the log did not confirm operation %s in time; repeat the command with the same operation id"
                .formatted(operation.operationId),
            1_000)
        : Refusal.retryable(
            ResultCode.LOG_UNAVAILABLE,
            "the log is not available; operation %s was not recorded"
                .formatted(operation.operationId),
            1_000);
  }

  private static LogEffect completionOf(ControlState state, String operationId) {
    return new LogEffect.OperationCompleted(operationId, state.operations().get(operationId).get());
  }
}
