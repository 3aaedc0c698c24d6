package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;

/**
 * Marks a member as departed that has ended all its work.
 *
 * <p>Its seat is free immediately, since its connections are closed. It leaves the counting set
 * immediately, since it stopped confirming to peers that their state is fresh before it sent this
 * record.
 */
final class MemberLeftValidator implements RecordValidator<RecordBody.MemberLeft> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.MemberLeft body, RecordContext context) {
    return Members.active(state, body.memberId())
        .map(
            member ->
                Members.depart(
                    state,
                    member
                        .departed(MemberStatus.LEFT, context.offset())
                        .withCounting(false)
                        .withSeat(MemberEntry.NO_SEAT)));
  }
}
