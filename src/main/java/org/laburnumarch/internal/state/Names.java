package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Limits the length of names in records, so that the size of the state is bounded. */
final class Names {

  static final int MAX_LENGTH = 128;

  private Names() {}

  static boolean isValid(String name) {
    return !name.isBlank() && name.length() <= MAX_LENGTH;
  }

  static Either<Refusal, ControlState> refuse(String field) {
    return RecordValidator.refuse(
        ResultCode.VALUE_OUT_OF_RANGE,
        "the %s is empty or longer than %d characters".formatted(field, MAX_LENGTH));
  }
}
