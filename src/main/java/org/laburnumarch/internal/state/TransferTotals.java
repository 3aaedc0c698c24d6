package org.laburnumarch.internal.state;

/**
 * Cumulative allowance units of one team that the author of an acknowledgement and one departed
 * member have transferred to each other.
 *
 * @param departedMemberId id of the departed member
 * @param epoch the team's epoch that the counters belong to
 * @param sentUnits units sent by the author to the departed member since the epoch began
 * @param receivedUnits units received by the author from the departed member since the epoch began
 */
public record TransferTotals(
    String departedMemberId, String team, long epoch, long sentUnits, long receivedUnits) {}
