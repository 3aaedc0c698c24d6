package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * Accepts tasks of configured teams while fewer than {@link TaskTables#MAX_OPEN_TASKS} are open.
 */
final class TasksAcceptedValidator implements RecordValidator<RecordBody.TasksAccepted> {

  private static final int MAX_UNITS = 10_000;

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.TasksAccepted body, RecordContext context) {
    return Batches.fold(state, body.tasks(), (tables, spec) -> accept(state, tables, spec));
  }

  private static Either<Refusal, TaskTables> accept(
      ControlState state, TaskTables tables, TaskSpec spec) {
    if (tables.tasks().containsKey(spec.task())) {
      return Batches.refuse(
          ResultCode.TASK_EXISTS, "task %s was accepted already".formatted(spec.task()));
    }
    if (!state.text().map(text -> text.teams().containsKey(spec.team())).orElse(false)) {
      return Batches.refuse(
          ResultCode.UNKNOWN_NAME,
          "the text in force has no [team %s]; add it first".formatted(spec.team()));
    }
    if (!Names.isValid(spec.task())
        || !Names.isValid(spec.job())
        || !spec.size().isValid()
        || spec.units() < 1
        || spec.units() > MAX_UNITS) {
      return Batches.refuse(
          ResultCode.VALUE_OUT_OF_RANGE,
          "task %s needs an id and a job of up to %d characters, a size of at least 0 and 1 to %d units"
              .formatted(spec.task(), Names.MAX_LENGTH, MAX_UNITS));
    }
    if (tables.openCount() >= TaskTables.MAX_OPEN_TASKS) {
      return Either.left(
          Refusal.retryable(
              ResultCode.TASKS_FULL,
              "%d tasks wait or run; submit again when some have ended"
                  .formatted(tables.openCount()),
              10_000));
    }
    return Either.right(tables.withTask(TaskEntry.accepted(spec)));
  }
}
