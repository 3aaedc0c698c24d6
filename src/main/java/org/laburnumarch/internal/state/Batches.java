package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.BiFunction;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * Validates and applies the parts of a batch one by one.
 *
 * <p>A refused part changes nothing and does not stop the others: one task that was cancelled in
 * the meantime must not block the remaining parts of its batch. The record is refused only if all
 * its parts are refused.
 */
public final class Batches {

  /** Bounds the work that one record causes on every daemon. */
  public static final int MAX_PARTS = 2_000;

  private Batches() {}

  static <T> Either<Refusal, ControlState> fold(
      ControlState state,
      List<T> parts,
      BiFunction<TaskTables, T, Either<Refusal, TaskTables>> validator) {
    if (parts.isEmpty() || parts.size() > MAX_PARTS) {
      return RecordValidator.refuse(
          ResultCode.VALUE_OUT_OF_RANGE,
          "a batch has 1 to %d parts; split it".formatted(MAX_PARTS));
    }
    TaskTables tables = state.taskTables();
    Refusal firstRefusal = null;
    int acceptedCount = 0;
    for (T part : parts) {
      Either<Refusal, TaskTables> result = validator.apply(tables, part);
      if (result.isRight()) {
        tables = result.get();
        acceptedCount++;
      } else if (firstRefusal == null) {
        firstRefusal = result.getLeft();
      }
    }
    return acceptedCount == 0
        ? Either.left(firstRefusal)
        : Either.right(state.withTaskTables(tables));
  }

  static Either<Refusal, TaskEntry> find(TaskTables tables, String task) {
    return tables
        .tasks()
        .get(task)
        .toEither(
            () ->
                Refusal.of(
                    ResultCode.TASK_UNKNOWN,
                    "there is no task %s; it was never accepted, or ended long ago"
                        .formatted(task)));
  }

  static <T> Either<Refusal, T> refuse(ResultCode code, String message) {
    return Either.left(Refusal.of(code, message));
  }
}
