package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Cancels waiting tasks, and marks running ones to be stopped. */
final class TasksCancelledValidator implements RecordValidator<RecordBody.TasksCancelled> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.TasksCancelled body, RecordContext context) {
    return Batches.fold(
        state, body.tasks(), (tables, task) -> cancel(tables, task, context.logTimeEpochMs()));
  }

  private static Either<Refusal, TaskTables> cancel(
      TaskTables tables, String task, long atEpochMs) {
    return Batches.find(tables, task).flatMap(entry -> cancel(tables, entry, atEpochMs));
  }

  private static Either<Refusal, TaskTables> cancel(
      TaskTables tables, TaskEntry entry, long atEpochMs) {
    if (entry.phase().isFinal() || entry.isCancelRequested()) {
      return Batches.refuse(
          ResultCode.NO_CHANGE,
          "task %s has ended or is being cancelled: %s".formatted(entry.task(), entry.phase()));
    }
    return Either.right(
        entry.phase() == TaskPhase.WAITING
            ? tables.withEnded(entry.ended(TaskPhase.CANCELLED, atEpochMs))
            : tables.withTask(entry.cancelRequested()));
  }
}
