package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Moves an instance between pools if the source pool's availability budget still holds. */
final class InstanceMovedValidator implements RecordValidator<RecordBody.InstanceMoved> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.InstanceMoved body, RecordContext context) {
    return Instances.find(state, body.instance())
        .flatMap(instance -> checkMove(state, instance, body))
        .map(instance -> Instances.put(state, instance.withPool(body.toPool())))
        .flatMap(after -> Instances.checkBudget(state, after, body.fromPool()));
  }

  private static Either<Refusal, InstanceEntry> checkMove(
      ControlState state, InstanceEntry instance, RecordBody.InstanceMoved body) {
    if (!instance.pool().equals(body.fromPool())) {
      return refuse(
          ResultCode.INSTANCE_NOT_IN_POOL,
          "instance %s is in pool %s, not in %s"
              .formatted(instance.instance(), instance.pool(), body.fromPool()));
    }
    if (body.fromPool().equals(body.toPool())) {
      return refuse(
          ResultCode.NO_CHANGE,
          "instance %s is in pool %s already".formatted(instance.instance(), body.toPool()));
    }
    if (!state.text().map(text -> text.pools().containsKey(body.toPool())).orElse(false)) {
      return refuse(
          ResultCode.UNKNOWN_NAME,
          "the text in force has no [pool %s]; add it first".formatted(body.toPool()));
    }
    if (instance.health() == InstanceHealth.IN_MAINTENANCE) {
      return refuse(
          ResultCode.INSTANCE_BUSY,
          "instance %s is in maintenance; move it afterwards".formatted(instance.instance()));
    }
    return Either.right(instance);
  }

  private static Either<Refusal, InstanceEntry> refuse(ResultCode code, String message) {
    return Either.left(Refusal.of(code, message));
  }
}
