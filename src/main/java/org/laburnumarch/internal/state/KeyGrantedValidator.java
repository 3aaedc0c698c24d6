package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import java.util.regex.Pattern;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Makes a key valid for a configured team. */
final class KeyGrantedValidator implements RecordValidator<RecordBody.KeyGranted> {

  private static final Pattern SHA_256_HEX = Pattern.compile("[0-9a-f]{64}");

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.KeyGranted body, RecordContext context) {
    if (!Names.isValid(body.keyId())) {
      return Names.refuse("key id");
    }
    if (state.keys().containsKey(body.keyId())) {
      return RecordValidator.refuse(
          ResultCode.DUPLICATE_NAME,
          "key %s exists already; grant one with a new id".formatted(body.keyId()));
    }
    if (!state.text().map(text -> text.teams().containsKey(body.team())).orElse(false)) {
      return RecordValidator.refuse(
          ResultCode.UNKNOWN_NAME,
          "the text in force has no [team %s]; add it first".formatted(body.team()));
    }
    if (!SHA_256_HEX.matcher(body.secretDigest()).matches()) {
      return RecordValidator.refuse(
          ResultCode.VALUE_OUT_OF_RANGE,
          "the digest of key %s is no SHA-256 in lower-case hexadecimal".formatted(body.keyId()));
    }
    KeyEntry key =
        new KeyEntry(body.keyId(), body.team(), body.secretDigest(), context.offset(), false);
    return Either.right(state.withKeys(state.keys().put(body.keyId(), key)));
  }
}
