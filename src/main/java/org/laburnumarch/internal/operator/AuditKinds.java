package org.laburnumarch.internal.operator;

import java.util.Locale;
import org.laburnumarch.internal.state.AuditEntry;
import org.laburnumarch.internal.state.RecordBody;

/** Compares the kinds of audit entries with record types. */
final class AuditKinds {

  private AuditKinds() {}

  /** Returns whether an entry's kind names a record type, ignoring case and non-letters. */
  static boolean isRecordType(AuditEntry entry, Class<? extends RecordBody> recordType) {
    return normalize(entry.kind()).equals(normalize(recordType.getSimpleName()));
  }

  private static String normalize(String kind) {
    return kind.replaceAll("[^A-Za-z]", "").toLowerCase(Locale.ROOT);
  }
}
