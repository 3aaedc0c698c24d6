package org.laburnumarch.internal.text;

import io.vavr.collection.SortedSet;

/**
 * Section {@code [service NAME]}.
 *
 * @param pool pool whose minions process its requests
 * @param queue queue that its requests wait in
 * @param dependsOn services that it calls; the dependencies of all services contain no cycle
 * @param minAvailableCount availability budget: the number of instances of the pool that have to be
 *     available at all times
 * @param neededCount number of instances of the pool that the service needs for its ordinary load
 */
public record ServiceSpec(
    String name,
    String pool,
    String queue,
    SortedSet<String> dependsOn,
    int minAvailableCount,
    int neededCount) {}
