package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Adds an instance of the platform to a configured pool. */
final class InstanceAddedValidator implements RecordValidator<RecordBody.InstanceAdded> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.InstanceAdded body, RecordContext context) {
    if (!Names.isValid(body.instance()) || !Names.isValid(body.address())) {
      return Names.refuse("instance or address");
    }
    if (body.rack().length() > Names.MAX_LENGTH) {
      return Names.refuse("rack");
    }
    if (state.instances().containsKey(body.instance())) {
      return RecordValidator.refuse(
          ResultCode.DUPLICATE_NAME,
          "instance %s is in pool %s already"
              .formatted(body.instance(), state.instances().get(body.instance()).get().pool()));
    }
    if (!state.text().map(text -> text.pools().containsKey(body.pool())).orElse(false)) {
      return RecordValidator.refuse(
          ResultCode.UNKNOWN_NAME,
          "the text in force has no [pool %s]; add it or use the spare pool"
              .formatted(body.pool()));
    }
    if (!state.dataCentres().containsKey(body.dataCentre())) {
      return RecordValidator.refuse(
          ResultCode.DATA_CENTRE_UNKNOWN,
          "the text in force has no [data-centre %s], where instance %s stands; add it"
              .formatted(body.dataCentre(), body.instance()));
    }
    InstanceEntry instance =
        new InstanceEntry(
            body.instance(),
            body.pool(),
            body.dataCentre(),
            body.rack(),
            body.address(),
            InstanceHealth.AVAILABLE,
            context.logTimeEpochMs());
    return Either.right(state.withInstances(state.instances().put(body.instance(), instance)));
  }
}
