package org.laburnumarch.internal.state;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeSet;
import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * Returns the allowance of departed members to the unassigned units, once all transfers with them
 * are settled.
 */
final class AllowanceReclaimedValidator implements RecordValidator<RecordBody.AllowanceReclaimed> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.AllowanceReclaimed body, RecordContext context) {
    TreeSet<String> departed = TreeSet.ofAll(body.departedMemberIds());
    if (departed.isEmpty()) {
      return RecordValidator.refuse(
          ResultCode.VALUE_OUT_OF_RANGE, "name the members to reclaim from");
    }
    for (String memberId : departed) {
      if (!state.departures().containsKey(memberId)) {
        return RecordValidator.refuse(
            ResultCode.MEMBER_UNKNOWN,
            "member %s has not departed or is reclaimed already".formatted(memberId));
      }
      Either<Refusal, ControlState> settled =
          checkOrder(state, memberId, departed)
              .flatMap(inOrder -> checkSettled(inOrder, memberId, departed));
      if (settled.isLeft()) {
        return settled;
      }
    }
    return Either.right(reclaim(state, departed));
  }

  /**
   * Refuses to reclaim a member before those that departed earlier. Reclaiming an earlier one
   * changes the base units of the members that exchanged units with it. Nobody could return the
   * units of a member that has already been reclaimed.
   */
  private static Either<Refusal, ControlState> checkOrder(
      ControlState state, String memberId, TreeSet<String> departed) {
    long departedAtOffset = state.members().get(memberId).get().departedAtOffset();
    for (String earlier : state.departures().keySet()) {
      if (!departed.contains(earlier)
          && state.members().get(earlier).get().departedAtOffset() < departedAtOffset) {
        return RecordValidator.refuse(
            ResultCode.NOT_SETTLED,
            "member %s departed before %s; reclaim from it first or at the same time"
                .formatted(earlier, memberId));
      }
    }
    return Either.right(state);
  }

  private static Either<Refusal, ControlState> checkSettled(
      ControlState state, String memberId, TreeSet<String> departed) {
    MemberEntry member = state.members().get(memberId).get();
    DepartureEntry departure = state.departures().get(memberId).get();
    for (MemberEntry other : state.members().values()) {
      if (other.joinedAtOffset() < member.departedAtOffset()
          && !departed.contains(other.memberId())
          && !departure.finalCounters().containsKey(other.memberId())) {
        return RecordValidator.refuse(
            ResultCode.NOT_SETTLED,
            "member %s has not acknowledged the departure of %s; wait for it, or reclaim both once it has departed"
                .formatted(other.memberId(), memberId));
      }
    }
    if (member.isCounting()
        || !CountingSet.isAcknowledgedByMajority(state, member.departedAtOffset())) {
      return RecordValidator.refuse(
          ResultCode.NOT_SETTLED,
          "no majority of the counting set has acknowledged the departure of %s; wait for it"
              .formatted(memberId));
    }
    return Either.right(state);
  }

  private static ControlState reclaim(ControlState state, TreeSet<String> departed) {
    SortedMap<String, AllowanceEntry> allowances =
        state.allowances().mapValues(entry -> reclaimUnits(state, entry, departed));
    ControlState reclaimed =
        state
            .withAllowances(allowances)
            .withMembers(state.members().removeAll(departed))
            .withDepartures(state.departures().removeAll(departed));
    return CountingSet.applyDueChanges(
        SeatAssigner.assign(TaskUnits.reassign(reclaimed, departed)));
  }

  private static AllowanceEntry reclaimUnits(
      ControlState state, AllowanceEntry entry, TreeSet<String> departed) {
    int unassignedUnits = entry.unassignedUnits();
    SortedMap<String, Integer> baseUnits = entry.baseUnits();
    for (String memberId : departed) {
      unassignedUnits += baseUnits.getOrElse(memberId, 0);
      baseUnits = baseUnits.remove(memberId);
      var finalCounters = state.departures().get(memberId).get().finalCounters();
      for (var counters : finalCounters.filterKeys(other -> !departed.contains(other))) {
        int movedUnits = movedUnits(entry, counters._2);
        unassignedUnits += movedUnits;
        baseUnits = baseUnits.put(counters._1, baseUnits.getOrElse(counters._1, 0) - movedUnits);
      }
    }
    return new AllowanceEntry(
        entry.team(),
        entry.epoch(),
        entry.limitUnits(),
        unassignedUnits,
        baseUnits.filterValues(units -> units != 0));
  }

  /**
   * Returns the net units that the counters' author sent to the departed member; counters of an
   * older epoch are void.
   */
  private static int movedUnits(
      AllowanceEntry entry, io.vavr.collection.Vector<TransferTotals> counters) {
    long movedUnits = 0;
    for (TransferTotals totals : counters) {
      if (totals.team().equals(entry.team()) && totals.epoch() == entry.epoch()) {
        movedUnits += totals.sentUnits() - totals.receivedUnits();
      }
    }
    return Math.toIntExact(movedUnits);
  }
}
