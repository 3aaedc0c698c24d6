package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;

/**
 * Removes an instance that no longer exists. No availability budget is checked, since the loss has
 * already happened.
 */
final class InstanceRemovedValidator implements RecordValidator<RecordBody.InstanceRemoved> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.InstanceRemoved body, RecordContext context) {
    return Instances.find(state, body.instance())
        .map(found -> state.withInstances(state.instances().remove(found.instance())));
  }
}
