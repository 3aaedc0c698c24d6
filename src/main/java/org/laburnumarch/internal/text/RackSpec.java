package org.laburnumarch.internal.text;

/** Section {@code [rack NAME]}. */
public record RackSpec(String name, String dataCentre) {}
