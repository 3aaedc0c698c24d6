package org.laburnumarch.internal.state;

/**
 * A record of the control log.
 *
 * @param operationId identifies the operation; a second record with the same id is a duplicate
 * @param author who requested it: an operator's name or a member id
 * @param createdAtEpochMs the author's wall clock, for the audit trail only
 */
public record Envelope(String operationId, String author, long createdAtEpochMs, RecordBody body) {}
