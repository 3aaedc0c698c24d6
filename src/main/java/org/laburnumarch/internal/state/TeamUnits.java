package org.laburnumarch.internal.state;

/** A number of allowance units of one team. */
public record TeamUnits(String team, int units) {}
