package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * Ends the maintenance of an instance; it becomes available again only if it is reported healthy.
 */
final class MaintenanceFinishedValidator
    implements RecordValidator<RecordBody.MaintenanceFinished> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.MaintenanceFinished body, RecordContext context) {
    return Instances.find(state, body.instance())
        .flatMap(instance -> finish(state, instance, body.isHealthy(), context));
  }

  private static Either<Refusal, ControlState> finish(
      ControlState state, InstanceEntry instance, boolean isHealthy, RecordContext context) {
    InstanceHealth health = isHealthy ? InstanceHealth.AVAILABLE : InstanceHealth.FAILED;
    if (instance.health() == health || instance.health().isAvailable()) {
      return RecordValidator.refuse(
          ResultCode.NO_CHANGE,
          "instance %s is not in maintenance; it is %s"
              .formatted(instance.instance(), instance.health()));
    }
    InstanceEntry finished = instance.withHealth(health);
    return Either.right(
        Instances.put(
            state, isHealthy ? finished.maintainedAt(context.logTimeEpochMs()) : finished));
  }
}
