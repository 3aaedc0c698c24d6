package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * Records the suspicion that a member has failed; a later one does not replace it until it is
 * refuted.
 */
final class MemberSuspectedValidator implements RecordValidator<RecordBody.MemberSuspected> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.MemberSuspected body, RecordContext context) {
    if (body.memberId().equals(body.byMemberId())) {
      return RecordValidator.refuse(
          ResultCode.VALUE_OUT_OF_RANGE, "a member cannot suspect itself");
    }
    return Members.active(state, body.byMemberId())
        .flatMap(by -> Members.active(state, body.memberId()))
        .flatMap(member -> suspect(state, member, context));
  }

  private static Either<Refusal, ControlState> suspect(
      ControlState state, MemberEntry member, RecordContext context) {
    if (member.isSuspected()) {
      return RecordValidator.refuse(
          ResultCode.NO_CHANGE,
          "member %s is suspected since offset %d"
              .formatted(member.memberId(), member.suspectedAtOffset()));
    }
    return Either.right(
        Members.put(state, member.suspected(context.offset(), context.logTimeEpochMs())));
  }
}
