package org.laburnumarch.internal.state;

/** The state after a record, and the result of the record. */
public record ApplyResult(ControlState state, RecordResult result) {}
