package org.laburnumarch.internal.routing;

/** A minion that may be used and the number of requests that it runs at the same time. */
public record MinionSlots(String instance, int slots) {}
