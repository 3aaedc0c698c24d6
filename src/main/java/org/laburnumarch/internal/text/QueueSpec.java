package org.laburnumarch.internal.text;

/**
 * Section {@code [queue NAME]}.
 *
 * @param isOpenToAll whether requests without a key are accepted
 * @param maxQueuedPerTeam maximum number of requests of one team that wait at one daemon
 */
public record QueueSpec(String name, boolean isOpenToAll, int maxQueuedPerTeam) {}
