package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Ends attempts; each task then gets its final result or waits for its next attempt. */
final class TasksEndedValidator implements RecordValidator<RecordBody.TasksEnded> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.TasksEnded body, RecordContext context) {
    return Members.active(state, body.memberId())
        .flatMap(
            member -> Batches.fold(state, body.ends(), (tables, end) -> end(tables, end, context)));
  }

  private static Either<Refusal, TaskTables> end(
      TaskTables tables, TaskEnd end, RecordContext context) {
    return Batches.find(tables, end.task())
        .flatMap(task -> check(task, end))
        .map(task -> apply(tables, task, end, context.logTimeEpochMs()));
  }

  private static Either<Refusal, TaskEntry> check(TaskEntry task, TaskEnd end) {
    if (end.attempt() != task.attempt()) {
      return Batches.refuse(
          ResultCode.TASK_ATTEMPT_STALE,
          "task %s is at attempt %d, not %d".formatted(task.task(), task.attempt(), end.attempt()));
    }
    TaskPhase expected = end.how() == AttemptEnd.IMPOSSIBLE ? TaskPhase.WAITING : TaskPhase.STARTED;
    return task.phase() == expected
        ? Either.right(task)
        : Batches.refuse(
            ResultCode.TASK_NOT_WAITING,
            "task %s cannot end as %s: %s".formatted(task.task(), end.how(), task.phase()));
  }

  private static TaskTables apply(TaskTables tables, TaskEntry task, TaskEnd end, long atEpochMs) {
    TaskTables counted = FailureCounts.count(tables, task, end.how());
    TaskEntry current = counted.tasks().get(task.task()).get();
    TaskPhase phase = phaseAfter(current, end.how());
    return phase.isFinal()
        ? counted.withEnded(current.ended(phase, atEpochMs))
        : counted.withTask(current.waiting());
  }

  private static TaskPhase phaseAfter(TaskEntry task, AttemptEnd attemptEnd) {
    if (attemptEnd == AttemptEnd.SUCCEEDED) {
      return TaskPhase.SUCCEEDED;
    }
    if (attemptEnd == AttemptEnd.IMPOSSIBLE) {
      return TaskPhase.IMPOSSIBLE;
    }
    if (task.isCancelRequested()) {
      return TaskPhase.CANCELLED;
    }
    return task.failedWorkers().size() >= FailureCounts.MAX_FAILED_WORKERS
        ? TaskPhase.PARKED
        : TaskPhase.WAITING;
  }
}
