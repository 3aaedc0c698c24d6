package org.laburnumarch.internal.state;

import io.vavr.collection.SortedMap;
import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Assigns unassigned allowance units to a member; a claim is granted in full or refused. */
final class AllowanceClaimedValidator implements RecordValidator<RecordBody.AllowanceClaimed> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.AllowanceClaimed body, RecordContext context) {
    return Members.active(state, body.memberId())
        .flatMap(
            member ->
                member.isSeated()
                    ? claim(state, member, body)
                    : RecordValidator.refuse(
                        ResultCode.NO_SEAT,
                        "member %s has no seat yet".formatted(member.memberId())));
  }

  private static Either<Refusal, ControlState> claim(
      ControlState state, MemberEntry member, RecordBody.AllowanceClaimed body) {
    SortedMap<String, AllowanceEntry> allowances = state.allowances();
    for (TeamUnits claimed : body.units()) {
      AllowanceEntry entry = allowances.getOrElse(claimed.team(), null);
      if (entry == null) {
        return RecordValidator.refuse(
            ResultCode.UNKNOWN_NAME,
            "the text in force has no [team %s]".formatted(claimed.team()));
      }
      if (claimed.units() <= 0) {
        return RecordValidator.refuse(
            ResultCode.VALUE_OUT_OF_RANGE,
            "a claim for team %s needs at least one unit".formatted(claimed.team()));
      }
      if (claimed.units() > entry.unassignedUnits()) {
        return RecordValidator.refuse(
            ResultCode.ALLOWANCE_EXHAUSTED,
            "team %s has %d unassigned units, not %d; claim fewer or ask peers"
                .formatted(claimed.team(), entry.unassignedUnits(), claimed.units()));
      }
      allowances =
          allowances.put(claimed.team(), entry.withClaimed(member.memberId(), claimed.units()));
    }
    return Either.right(state.withAllowances(allowances));
  }
}
