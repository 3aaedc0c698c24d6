package org.laburnumarch.internal.state;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.TeamSpec;

/** Derives the other tables after a change of the configuration text. */
final class TextChange {

  private TextChange() {}

  /** Returns the text, or a refusal if it removes a section or seats that are still in use. */
  static Either<Refusal, FleetText> checkInUse(ControlState state, FleetText text) {
    for (InstanceEntry instance : state.instances().values()) {
      if (!text.pools().containsKey(instance.pool())) {
        return refuseInUse("pool " + instance.pool(), "instance " + instance.instance());
      }
      if (!text.dataCentres().containsKey(instance.dataCentre())) {
        return refuseInUse(
            "data-centre " + instance.dataCentre(), "instance " + instance.instance());
      }
    }
    int seatsInUse = state.members().values().map(MemberEntry::seat).max().getOrElse(-1) + 1;
    if (text.fleet().maxSeats() < seatsInUse) {
      // Fewer seats mean more connections per seat, so a seat beyond the new number would exceed
      // what minions accept.
      return Either.left(
          Refusal.of(
              ResultCode.VALUE_OUT_OF_RANGE,
              "max-seats %d is below the %d seats in use; stop daemons first"
                  .formatted(text.fleet().maxSeats(), seatsInUse)));
    }
    return Either.right(text);
  }

  /** Returns the data centres of the text; those that were out of service stay out. */
  static SortedMap<String, DataCentreEntry> dataCentres(
      ControlState state, FleetText text, RecordContext context) {
    return text.dataCentres()
        .mapValues(
            spec ->
                state
                    .dataCentres()
                    .getOrElse(
                        spec.name(), new DataCentreEntry(spec.name(), false, context.offset())));
  }

  /**
   * Returns the keys; those of removed teams are revoked, and stay so even if the team is added
   * again.
   */
  static SortedMap<String, KeyEntry> keys(ControlState state, FleetText text) {
    SortedMap<String, KeyEntry> keys = state.keys();
    for (KeyEntry key : state.keys().values()) {
      if (!key.isRevoked() && !text.teams().containsKey(key.team())) {
        keys = keys.put(key.keyId(), key.revoked());
      }
    }
    return keys;
  }

  /** Returns the allowances of the teams of the text, with its limits. */
  static SortedMap<String, AllowanceEntry> allowances(
      ControlState state, FleetText text, RecordContext context) {
    return text.teams().mapValues(team -> allowance(state, team, context));
  }

  private static AllowanceEntry allowance(
      ControlState state, TeamSpec team, RecordContext context) {
    int limitUnits = team.upperLimitUnits();
    AllowanceEntry entry = state.allowances().getOrElse(team.name(), null);
    if (entry == null) {
      return new AllowanceEntry(
          team.name(), context.offset(), limitUnits, limitUnits, TreeMap.empty());
    }
    int raisedUnits = limitUnits - entry.limitUnits();
    if (raisedUnits >= 0) {
      return new AllowanceEntry(
          team.name(),
          entry.epoch(),
          limitUnits,
          entry.unassignedUnits() + raisedUnits,
          entry.baseUnits());
    }
    return split(state, team, context);
  }

  /**
   * Starts a new epoch and splits a lowered limit evenly among the seated members; the remainder
   * goes to those with the lowest seats, one unit each.
   */
  private static AllowanceEntry split(ControlState state, TeamSpec team, RecordContext context) {
    var seatedMembers =
        state
            .members()
            .values()
            .filter(m -> m.isActive() && m.isSeated())
            .sortBy(MemberEntry::seat)
            .toVector();
    int limitUnits = team.upperLimitUnits();
    SortedMap<String, Integer> baseUnits = TreeMap.empty();
    for (int i = 0; i < seatedMembers.size(); i++) {
      int units =
          limitUnits / seatedMembers.size() + (i < limitUnits % seatedMembers.size() ? 1 : 0);
      if (units > 0) {
        baseUnits = baseUnits.put(seatedMembers.get(i).memberId(), units);
      }
    }
    int unassignedUnits = seatedMembers.isEmpty() ? limitUnits : 0;
    return new AllowanceEntry(
        team.name(), context.offset(), limitUnits, unassignedUnits, baseUnits);
  }

  private static Either<Refusal, FleetText> refuseInUse(String section, String user) {
    return Either.left(
        Refusal.of(
            ResultCode.INSTANCE_BUSY,
            "section [%s] is still used by %s; move or remove it first".formatted(section, user)));
  }
}
