package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Clears the suspicion of a member that has refuted it. */
final class MemberAliveValidator implements RecordValidator<RecordBody.MemberAlive> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.MemberAlive body, RecordContext context) {
    return Members.active(state, body.memberId()).flatMap(member -> refute(state, member));
  }

  private static Either<Refusal, ControlState> refute(ControlState state, MemberEntry member) {
    if (!member.isSuspected()) {
      return RecordValidator.refuse(
          ResultCode.NOT_SUSPECTED, "member %s is not suspected".formatted(member.memberId()));
    }
    return Either.right(Members.put(state, member.refuted()));
  }
}
