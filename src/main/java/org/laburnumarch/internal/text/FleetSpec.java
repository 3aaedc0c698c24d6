package org.laburnumarch.internal.text;

/**
 * Section {@code [fleet]}.
 *
 * @param name name of the organisation, for display only
 * @param weighting which goal takes precedence when goals conflict
 * @param sparePool pool that holds the shared reserve of instances
 * @param maxSeats maximum number of daemons that hold connections to minions at the same time
 */
public record FleetSpec(String name, Weighting weighting, String sparePool, int maxSeats) {}
