package org.laburnumarch.internal.text;

/**
 * Section {@code [maintenance]}.
 *
 * @param isEnabled whether maintenance waves are started
 * @param intervalDays interval between two maintenances of an instance, in days
 */
public record MaintenanceSpec(boolean isEnabled, int intervalDays) {}
