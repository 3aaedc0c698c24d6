package org.laburnumarch.internal.state;

import io.vavr.collection.TreeMap;
import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Helpers for the validators of member records. */
final class Members {

  private Members() {}

  /** Returns the member, or a refusal if it is unknown or has departed. */
  static Either<Refusal, MemberEntry> active(ControlState state, String memberId) {
    MemberEntry member = state.members().getOrElse(memberId, null);
    if (member == null) {
      return Either.left(
          Refusal.of(
              ResultCode.MEMBER_UNKNOWN,
              "there is no member %s; join with a new id".formatted(memberId)));
    }
    if (!member.isActive()) {
      return Either.left(
          Refusal.of(
              ResultCode.MEMBER_EXPELLED,
              "member %s has departed at offset %d; join with a new id"
                  .formatted(memberId, member.departedAtOffset())));
    }
    return Either.right(member);
  }

  /** Returns the state with a changed entry. */
  static ControlState put(ControlState state, MemberEntry member) {
    return state.withMembers(state.members().put(member.memberId(), member));
  }

  /** Returns the state after a departure, with an empty table of final transfer counters. */
  static ControlState depart(ControlState state, MemberEntry departed) {
    DepartureEntry departure = new DepartureEntry(departed.memberId(), TreeMap.empty());
    ControlState after =
        put(state, departed).withDepartures(state.departures().put(departed.memberId(), departure));
    return CountingSet.applyDueChanges(SeatAssigner.assign(after));
  }
}
