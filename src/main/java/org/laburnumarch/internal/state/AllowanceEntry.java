package org.laburnumarch.internal.state;

import io.vavr.collection.SortedMap;

/**
 * The allowance of one team as recorded in the log. Unassigned and base units add up to the limit.
 *
 * @param epoch offset of the record that added the team or last redistributed its limit; transfer
 *     counters of an older epoch are void
 * @param limitUnits the team's upper limit
 * @param unassignedUnits units that are assigned to no member
 * @param baseUnits units assigned by the log, by member id, without transfers between members; may
 *     be negative for a member that has passed on units received from others
 */
public record AllowanceEntry(
    String team,
    long epoch,
    int limitUnits,
    int unassignedUnits,
    SortedMap<String, Integer> baseUnits) {
  /** Returns the entry with unassigned units assigned to a member. */
  public AllowanceEntry withClaimed(String memberId, int units) {
    return new AllowanceEntry(
        team,
        epoch,
        limitUnits,
        unassignedUnits - units,
        baseUnits.put(memberId, baseUnits.getOrElse(memberId, 0) + units));
  }
}
