package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Expels a member that has not refuted a suspicion, or whose process has ended. */
final class MemberExpelledValidator implements RecordValidator<RecordBody.MemberExpelled> {

  /** A suspected member has this long, by log time, to refute the suspicion. */
  static final long REFUTATION_MS = 10_000;

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.MemberExpelled body, RecordContext context) {
    if (body.memberId().equals(body.byMemberId())) {
      return RecordValidator.refuse(
          ResultCode.VALUE_OUT_OF_RANGE, "a member cannot expel itself; it leaves instead");
    }
    boolean hasNotJoined = !state.members().containsKey(body.byMemberId());
    if (hasNotJoined && !body.reason().isAcknowledgementNeeded()) {
      // A daemon that cannot join because no seat is left may expel terminated members: after the
      // loss of all daemons no member could expel them, and no daemon could ever join again.
      return expelTerminated(state, body, context);
    }
    return Members.active(state, body.byMemberId())
        .flatMap(
            author ->
                body.reason().isAcknowledgementNeeded()
                    ? expelSilent(state, body, context)
                    : expelTerminated(state, body, context));
  }

  private static Either<Refusal, ControlState> expelSilent(
      ControlState state, RecordBody.MemberExpelled body, RecordContext context) {
    return Members.active(state, body.memberId())
        .flatMap(
            member ->
                isSuspectedLongEnough(member, context)
                    ? Either.right(Members.depart(state, expelled(member, context)))
                    : RecordValidator.refuse(
                        ResultCode.NOT_SUSPECTED,
                        "member %s has no suspicion that is %d ms old; suspect it first"
                            .formatted(member.memberId(), REFUTATION_MS)));
  }

  /**
   * Removes the member from the counting set without acknowledgements: a process that has ended
   * cannot confirm to any peer that the peer's state is fresh.
   */
  private static Either<Refusal, ControlState> expelTerminated(
      ControlState state, RecordBody.MemberExpelled body, RecordContext context) {
    MemberEntry member = state.members().getOrElse(body.memberId(), null);
    if (member != null && !member.isActive() && member.isCounting()) {
      return Either.right(
          CountingSet.applyDueChanges(Members.put(state, member.withCounting(false))));
    }
    return Members.active(state, body.memberId())
        .map(active -> Members.depart(state, expelled(active, context).withCounting(false)));
  }

  private static MemberEntry expelled(MemberEntry member, RecordContext context) {
    return member.departed(MemberStatus.EXPELLED, context.offset());
  }

  private static boolean isSuspectedLongEnough(MemberEntry member, RecordContext context) {
    return member.isSuspected()
        && context.logTimeEpochMs() - member.suspectedAtEpochMs() >= REFUTATION_MS;
  }
}
