package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Adds a daemon as a member; it gets the lowest free seat, or waits for one. */
final class MemberJoinedValidator implements RecordValidator<RecordBody.MemberJoined> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.MemberJoined body, RecordContext context) {
    if (!Names.isValid(body.memberId())) {
      return Names.refuse("member id");
    }
    if (!Names.isValid(body.instance()) || !Names.isValid(body.peerAddress())) {
      return Names.refuse("instance or peer address");
    }
    if (body.dataCentre().length() > Names.MAX_LENGTH) {
      return Names.refuse("data centre");
    }
    if (state.members().containsKey(body.memberId())) {
      return RecordValidator.refuse(
          ResultCode.DUPLICATE_NAME,
          "member %s has joined already; a process that starts takes a new id"
              .formatted(body.memberId()));
    }
    int waiting = state.members().values().count(m -> m.isActive() && !m.isSeated());
    if (waiting >= SeatAssigner.maxSeats(state)) {
      return Either.left(
          Refusal.retryable(
              ResultCode.NO_SEAT,
              "all seats are held and %d daemons wait for one; raise max-seats or stop daemons"
                  .formatted(waiting),
              10_000));
    }
    MemberEntry member =
        new MemberEntry(
            body.memberId(),
            body.instance(),
            body.dataCentre(),
            body.peerAddress(),
            MemberEntry.NO_SEAT,
            context.offset(),
            MemberStatus.ACTIVE,
            false,
            0,
            MemberEntry.NO_OFFSET,
            MemberEntry.NO_OFFSET);
    ControlState joined = state.withMembers(state.members().put(body.memberId(), member));
    return Either.right(CountingSet.applyDueChanges(SeatAssigner.assign(joined)));
  }
}
