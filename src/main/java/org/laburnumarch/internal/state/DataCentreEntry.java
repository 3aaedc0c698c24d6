package org.laburnumarch.internal.state;

/**
 * Whether a data centre is in service.
 *
 * @param changedAtOffset offset of the record that added it or last changed its state
 */
public record DataCentreEntry(String dataCentre, boolean isOut, long changedAtOffset) {}
