package org.laburnumarch.internal.text;

/**
 * Section {@code [maintenance]}.
 *
 * @param isEnabled whether maintenance waves are started
 * @param intervalDays time from one maintenance of an instance to the next, in days
 */
public record MaintenanceSpec(boolean isEnabled, int intervalDays) {}
