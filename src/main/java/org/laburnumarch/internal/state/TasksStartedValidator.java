package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * Starts each attempt at most once, on a known worker in a data centre in service, and only with a
 * fencing token that is not older than the last one used for that worker.
 */
final class TasksStartedValidator implements RecordValidator<RecordBody.TasksStarted> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.TasksStarted body, RecordContext context) {
    return Members.active(state, body.memberId())
        .flatMap(
            member ->
                Batches.fold(
                    state, body.starts(), (tables, start) -> start(state, tables, body, start)));
  }

  private static Either<Refusal, TaskTables> start(
      ControlState state, TaskTables tables, RecordBody.TasksStarted body, TaskStart start) {
    return Batches.find(tables, start.task())
        .flatMap(task -> checkTask(task, start))
        .flatMap(
            task ->
                checkWorker(state, tables, body, start)
                    .map(
                        worker ->
                            tables
                                .withTask(task.started(start, body.memberId()))
                                .withWorker(worker.withFencingOffset(body.fencingOffset()))));
  }

  private static Either<Refusal, TaskEntry> checkTask(TaskEntry task, TaskStart start) {
    if (task.phase() != TaskPhase.WAITING) {
      return Batches.refuse(
          ResultCode.TASK_NOT_WAITING,
          "task %s does not wait: %s".formatted(task.task(), task.phase()));
    }
    if (start.attempt() != task.attempt() + 1) {
      return Batches.refuse(
          ResultCode.TASK_ATTEMPT_STALE,
          "the next attempt of task %s is %d, not %d"
              .formatted(task.task(), task.attempt() + 1, start.attempt()));
    }
    return Either.right(task);
  }

  private static Either<Refusal, WorkerEntry> checkWorker(
      ControlState state, TaskTables tables, RecordBody.TasksStarted body, TaskStart start) {
    WorkerEntry worker = tables.workers().getOrElse(start.worker(), null);
    if (worker == null) {
      return Batches.refuse(
          ResultCode.WORKER_UNKNOWN, "there is no worker %s".formatted(start.worker()));
    }
    if (state.dataCentres().get(worker.dataCentre()).exists(DataCentreEntry::isOut)) {
      return Batches.refuse(
          ResultCode.DATA_CENTRE_OUT,
          "data centre %s of worker %s is out of service"
              .formatted(worker.dataCentre(), worker.worker()));
    }
    if (body.fencingOffset() < worker.fencingOffset()
        || body.fencingOffset() > tables.membershipOffset()) {
      return Batches.refuse(
          ResultCode.OWNER_FENCED,
          "token %d does not fit worker %s, which has seen %d; read on and try again"
              .formatted(body.fencingOffset(), worker.worker(), worker.fencingOffset()));
    }
    return Either.right(worker);
  }
}
