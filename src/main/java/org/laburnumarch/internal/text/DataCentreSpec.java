package org.laburnumarch.internal.text;

/** Section {@code [data-centre NAME]}. */
public record DataCentreSpec(String name, String region) {}
