package org.laburnumarch.internal.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.laburnumarch.spi.LogRecord;

/** Keeps the last applied records, as read from the log, for peers that lag behind. */
final class RecentRecords {

  static final int MAX_RECORDS = 4_000;
  static final int MAX_BYTES = 4 << 20;

  private final Deque<LogRecord> records = new ArrayDeque<>();
  private int sizeBytes;

  void add(LogRecord record) {
    records.addLast(record);
    sizeBytes += record.data().length;
    while (records.size() > MAX_RECORDS || sizeBytes > MAX_BYTES) {
      sizeBytes -= records.removeFirst().data().length;
    }
  }

  void clear() {
    records.clear();
    sizeBytes = 0;
  }

  /** Returns consecutive records from an offset on; empty if the first is missing or too large. */
  List<LogRecord> from(long offset, int maxBytes) {
    if (records.isEmpty() || records.getFirst().offset() > offset) {
      return List.of();
    }
    List<LogRecord> found = new ArrayList<>();
    int foundBytes = 0;
    for (LogRecord record : records) {
      if (record.offset() >= offset) {
        foundBytes += record.data().length;
        if (foundBytes > maxBytes) {
          break;
        }
        found.add(record);
      }
    }
    return found;
  }
}
