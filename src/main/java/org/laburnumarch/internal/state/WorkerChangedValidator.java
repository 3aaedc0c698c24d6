package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * Adds, changes or removes a worker; a worker with started attempts that have not ended is not
 * removed.
 */
final class WorkerChangedValidator implements RecordValidator<RecordBody.WorkerChanged> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.WorkerChanged body, RecordContext context) {
    TaskTables tables = state.taskTables();
    WorkerEntry worker = tables.workers().getOrElse(body.worker(), null);
    return body.isPresent() ? put(state, worker, body) : remove(state, worker, body.worker());
  }

  private static Either<Refusal, ControlState> put(
      ControlState state, WorkerEntry worker, RecordBody.WorkerChanged body) {
    if (!Names.isValid(body.worker()) || !body.capacity().isValid()) {
      return Names.refuse("worker's name or capacity");
    }
    if (!state.dataCentres().containsKey(body.dataCentre())) {
      return RecordValidator.refuse(
          ResultCode.DATA_CENTRE_UNKNOWN,
          "the text in force has no [data-centre %s]; add it first".formatted(body.dataCentre()));
    }
    if (worker != null && !worker.dataCentre().equals(body.dataCentre())) {
      return RecordValidator.refuse(
          ResultCode.VALUE_OUT_OF_RANGE,
          "worker %s is in data centre %s; use a new name for another machine"
              .formatted(worker.worker(), worker.dataCentre()));
    }
    if (worker != null && worker.capacity().equals(body.capacity())) {
      return RecordValidator.refuse(
          ResultCode.NO_CHANGE, "worker %s is known already".formatted(body.worker()));
    }
    WorkerEntry changed =
        worker == null
            ? new WorkerEntry(
                body.worker(),
                body.dataCentre(),
                body.capacity(),
                MemberEntry.NO_OFFSET,
                java.util.List.of(),
                false,
                0)
            : worker.withCapacity(body.capacity());
    return Either.right(state.withTaskTables(state.taskTables().withWorker(changed)));
  }

  private static Either<Refusal, ControlState> remove(
      ControlState state, WorkerEntry worker, String name) {
    if (worker == null) {
      return RecordValidator.refuse(
          ResultCode.WORKER_UNKNOWN, "there is no worker %s".formatted(name));
    }
    boolean isUsed =
        state
            .taskTables()
            .tasks()
            .values()
            .exists(task -> task.phase() == TaskPhase.STARTED && task.worker().equals(name));
    if (isUsed) {
      return RecordValidator.refuse(
          ResultCode.INSTANCE_BUSY,
          "attempts on worker %s have not ended; end them first".formatted(name));
    }
    return Either.right(state.withTaskTables(state.taskTables().withoutWorker(name)));
  }
}
