package org.laburnumarch.internal.text;

/**
 * Section {@code [team NAME]}.
 *
 * @param shareFraction the team's part of the fleet's capacity under full load, 0 to 1
 * @param upperLimitUnits maximum number of units that the team's running requests and tasks use at
 *     the same time in the whole fleet; a request uses one unit
 * @param isUrgent whether its requests and tasks are scheduled first while it is within its share
 */
public record TeamSpec(String name, double shareFraction, int upperLimitUnits, boolean isUrgent) {}
