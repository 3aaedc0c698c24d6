package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Makes a key permanently invalid. */
final class KeyRevokedValidator implements RecordValidator<RecordBody.KeyRevoked> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.KeyRevoked body, RecordContext context) {
    KeyEntry key = state.keys().getOrElse(body.keyId(), null);
    if (key == null) {
      return RecordValidator.refuse(
          ResultCode.KEY_UNKNOWN, "there is no key %s; list the keys".formatted(body.keyId()));
    }
    if (key.isRevoked()) {
      return RecordValidator.refuse(
          ResultCode.NO_CHANGE, "key %s is revoked already".formatted(body.keyId()));
    }
    return Either.right(state.withKeys(state.keys().put(key.keyId(), key.revoked())));
  }
}
