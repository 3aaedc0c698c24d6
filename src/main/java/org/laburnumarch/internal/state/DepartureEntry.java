package org.laburnumarch.internal.state;

import io.vavr.collection.SortedMap;
import io.vavr.collection.Vector;

/**
 * Transfer counters with a member that has departed and whose allowance is not reclaimed yet.
 *
 * @param finalCounters by id of each member that has acknowledged the departure: its final counters
 *     with the departed member; a team that is not listed had no transfers
 */
public record DepartureEntry(
    String memberId, SortedMap<String, Vector<TransferTotals>> finalCounters) {}
