package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Accepts a snapshot, which changes nothing; it only serves starting daemons. */
final class SnapshotTakenValidator implements RecordValidator<RecordBody.SnapshotTaken> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.SnapshotTaken body, RecordContext context) {
    if (body.throughOffset() < 0 || body.throughOffset() >= context.offset()) {
      return RecordValidator.refuse(
          ResultCode.VALUE_OUT_OF_RANGE,
          "a snapshot at offset %d cannot reach through offset %d"
              .formatted(context.offset(), body.throughOffset()));
    }
    return Either.right(state);
  }
}
