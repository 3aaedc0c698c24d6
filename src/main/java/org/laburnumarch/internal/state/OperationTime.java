package org.laburnumarch.internal.state;

/** The log time at which an operation was applied or refused. */
public record OperationTime(String operationId, long judgedAtEpochMs) {}
