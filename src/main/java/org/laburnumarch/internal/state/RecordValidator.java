package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * Validates one kind of record and computes the state after it. The result depends only on the
 * state, the record and its position in the log, so that all daemons reach the same state.
 *
 * @param <B> the kind of record
 */
@FunctionalInterface
interface RecordValidator<B extends RecordBody> {

  /** Returns the state after the record, or a refusal if the record must not take effect. */
  Either<Refusal, ControlState> validate(ControlState state, B body, RecordContext context);

  /** Returns a refusal that is not retryable. */
  static Either<Refusal, ControlState> refuse(ResultCode code, String message) {
    return Either.left(Refusal.of(code, message));
  }
}
