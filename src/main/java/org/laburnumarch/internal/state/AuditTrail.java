package org.laburnumarch.internal.state;

import io.vavr.collection.Vector;

/** Records the changes that operators requested, with their results. */
final class AuditTrail {

  static final int MAX_ENTRIES = 5_000;
  static final long MAX_AGE_MS = 30L * 24 * 60 * 60 * 1_000;

  /** Limits the subject so that a snapshot with a full audit trail fits into one record. */
  static final int MAX_SUBJECT_LENGTH = 200;

  private AuditTrail() {}

  /** Returns the state with an entry added for an operator's change; other records add none. */
  static ControlState record(
      ControlState state, Envelope envelope, RecordResult result, long versionBefore) {
    RecordKind kind = RecordKind.of(envelope.body());
    if (!kind.isOperatorChange()) {
      return state;
    }
    AuditEntry entry =
        new AuditEntry(
            result.offset(),
            state.logTimeEpochMs(),
            envelope.operationId(),
            envelope.author(),
            kind.bodyType().getSimpleName(),
            truncate(kind.subjectOf(envelope.body())),
            baseVersion(envelope.body(), versionBefore),
            result.code());
    Vector<AuditEntry> audit = state.audit().append(entry);
    long oldestEpochMs = state.logTimeEpochMs() - MAX_AGE_MS;
    int dropped = Math.max(0, audit.size() - MAX_ENTRIES);
    while (dropped < audit.size() && audit.get(dropped).appendedAtEpochMs() < oldestEpochMs) {
      dropped++;
    }
    return state.withAudit(audit.drop(dropped));
  }

  private static long baseVersion(RecordBody body, long versionBefore) {
    return body instanceof RecordBody.ConfigChanged changed ? changed.baseVersion() : versionBefore;
  }

  private static String truncate(String subject) {
    return subject.length() <= MAX_SUBJECT_LENGTH
        ? subject
        : subject.substring(0, MAX_SUBJECT_LENGTH - 3) + "...";
  }
}
