package org.laburnumarch.internal.state;

import io.vavr.collection.SortedMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Records a member's acknowledgement, and its final transfer counters with departed members. */
final class MemberAcknowledgedValidator implements RecordValidator<RecordBody.MemberAcknowledged> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.MemberAcknowledged body, RecordContext context) {
    return Members.active(state, body.memberId())
        .flatMap(
            member -> {
              Optional<String> fault = faultOf(state, body, context);
              return fault.isPresent()
                  ? RecordValidator.refuse(ResultCode.VALUE_OUT_OF_RANGE, fault.get())
                  : Either.right(acknowledge(state, member, body));
            });
  }

  private static Optional<String> faultOf(
      ControlState state, RecordBody.MemberAcknowledged body, RecordContext context) {
    if (body.throughOffset() < 0 || body.throughOffset() > context.offset()) {
      return Optional.of(
          "record %d cannot acknowledge through offset %d"
              .formatted(context.offset(), body.throughOffset()));
    }
    Set<String> seen = new HashSet<>();
    for (TransferTotals totals : body.transfers()) {
      if (totals.sentUnits() < 0 || totals.receivedUnits() < 0) {
        return Optional.of("counters of team %s are negative".formatted(totals.team()));
      }
      if (!seen.add(totals.departedMemberId() + " " + totals.team())) {
        return Optional.of("counters of team %s come twice".formatted(totals.team()));
      }
      if (isNotYetFinal(state, totals, body.throughOffset())) {
        return Optional.of(
            "counters with member %s are not final at offset %d"
                .formatted(totals.departedMemberId(), body.throughOffset()));
      }
    }
    return Optional.empty();
  }

  private static boolean isNotYetFinal(
      ControlState state, TransferTotals totals, long throughOffset) {
    return state
        .members()
        .get(totals.departedMemberId())
        .exists(m -> m.isActive() || m.departedAtOffset() >= throughOffset);
  }

  private static ControlState acknowledge(
      ControlState state, MemberEntry member, RecordBody.MemberAcknowledged body) {
    SortedMap<String, DepartureEntry> departures = state.departures();
    for (DepartureEntry departure : state.departures().values()) {
      if (isFirstAfterDeparture(state, departure, member, body.throughOffset())) {
        Vector<TransferTotals> totals =
            Vector.ofAll(body.transfers())
                .filter(t -> t.departedMemberId().equals(departure.memberId()))
                .filter(t -> isOfCurrentEpoch(state, t));
        departures =
            departures.put(
                departure.memberId(),
                new DepartureEntry(
                    departure.memberId(),
                    departure.finalCounters().put(member.memberId(), totals)));
      }
    }
    ControlState acknowledged =
        Members.put(state, member.withAcknowledged(body.throughOffset()))
            .withDepartures(departures);
    return CountingSet.applyDueChanges(acknowledged);
  }

  /**
   * Only a member's first counters after a departure are final; it exchanges nothing with the
   * departed member afterwards.
   */
  private static boolean isFirstAfterDeparture(
      ControlState state, DepartureEntry departure, MemberEntry member, long throughOffset) {
    long departedAtOffset = state.members().get(departure.memberId()).get().departedAtOffset();
    return departedAtOffset < throughOffset
        && member.joinedAtOffset() < departedAtOffset
        && !departure.finalCounters().containsKey(member.memberId());
  }

  private static boolean isOfCurrentEpoch(ControlState state, TransferTotals totals) {
    return state.allowances().get(totals.team()).exists(e -> e.epoch() == totals.epoch());
  }
}
