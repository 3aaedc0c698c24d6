package org.laburnumarch.internal.text;

/**
 * A configuration text without faults.
 *
 * @param sections the text as keys and values, for digests and patches
 * @param fleet the same text as typed values
 */
public record ParsedText(TextSections sections, FleetText fleet) {}
