package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import org.laburnumarch.Refusal;
import org.laburnumarch.internal.text.TextChecker;

/** Selects the validator of a record by the class of its body. */
final class RecordValidators {

  private final Map<Class<?>, RecordValidator<?>> byType = new HashMap<>();

  RecordValidators(TextChecker checker) {
    put(RecordBody.ConfigChanged.class, new ConfigChangedValidator(checker));
    put(RecordBody.KeyGranted.class, new KeyGrantedValidator());
    put(RecordBody.KeyRevoked.class, new KeyRevokedValidator());
    put(RecordBody.DataCentreTakenOut.class, new DataCentreTakenOutValidator());
    put(RecordBody.DataCentreReturned.class, new DataCentreReturnedValidator());
    put(RecordBody.MemberJoined.class, new MemberJoinedValidator());
    put(RecordBody.MemberSuspected.class, new MemberSuspectedValidator());
    put(RecordBody.MemberAlive.class, new MemberAliveValidator());
    put(RecordBody.MemberExpelled.class, new MemberExpelledValidator());
    put(RecordBody.MemberLeft.class, new MemberLeftValidator());
    put(RecordBody.MemberAcknowledged.class, new MemberAcknowledgedValidator());
    put(RecordBody.AllowanceClaimed.class, new AllowanceClaimedValidator());
    put(RecordBody.AllowanceReclaimed.class, new AllowanceReclaimedValidator());
    put(RecordBody.InstanceAdded.class, new InstanceAddedValidator());
    put(RecordBody.InstanceRemoved.class, new InstanceRemovedValidator());
    put(RecordBody.InstanceMoved.class, new InstanceMovedValidator());
    put(RecordBody.MaintenanceStarted.class, new MaintenanceStartedValidator());
    put(RecordBody.MaintenanceFinished.class, new MaintenanceFinishedValidator());
    put(RecordBody.TasksAccepted.class, new TasksAcceptedValidator());
    put(RecordBody.TasksStarted.class, new TasksStartedValidator());
    put(RecordBody.TasksEnded.class, new TasksEndedValidator());
    put(RecordBody.TasksCancelled.class, new TasksCancelledValidator());
    put(RecordBody.WorkerChanged.class, new WorkerChangedValidator());
    put(RecordBody.SnapshotTaken.class, new SnapshotTakenValidator());
  }

  Either<Refusal, ControlState> validate(
      ControlState state, RecordBody body, RecordContext context) {
    return validateTyped(byType.get(body.getClass()), state, body, context);
  }

  private <B extends RecordBody> void put(Class<B> type, RecordValidator<B> validator) {
    byType.put(type, validator);
  }

  @SuppressWarnings("unchecked") // put() pairs each class with a validator of the same type.
  private static <B extends RecordBody> Either<Refusal, ControlState> validateTyped(
      RecordValidator<?> validator, ControlState state, B body, RecordContext context) {
    return ((RecordValidator<B>) validator).validate(state, body, context);
  }
}
