package org.laburnumarch.internal.text;

/**
 * Section {@code [pool NAME]}.
 *
 * @param slotsPerMinion requests that one minion of the pool processes at the same time
 * @param connectionsPerMinion connections that one minion of the pool accepts from all daemons
 */
public record PoolSpec(String name, int slotsPerMinion, int connectionsPerMinion) {}
