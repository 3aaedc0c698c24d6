package org.laburnumarch.internal.state;

import org.laburnumarch.ResultCode;

/**
 * An entry of the audit trail.
 *
 * @param offset offset of the record that requested the change
 * @param kind kind of the record
 * @param subject what was to be changed, without secrets
 * @param baseVersion version of the configuration text that the change was based on; for other
 *     changes, the version before the record
 */
public record AuditEntry(
    long offset,
    long appendedAtEpochMs,
    String operationId,
    String author,
    String kind,
    String subject,
    long baseVersion,
    ResultCode result) {}
