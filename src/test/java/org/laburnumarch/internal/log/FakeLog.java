package org.laburnumarch.internal.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.spi.LogPage;
import org.laburnumarch.spi.LogRecord;

/** In-memory log with limited retention. */
final class FakeLog {

  private final List<LogRecord> records = new ArrayList<>();
  private int first;
  private long timeEpochMs = 1_000_000;

  long append(byte[] data) {
    timeEpochMs += 10;
    records.add(new LogRecord(records.size(), timeEpochMs, data));
    return records.size() - 1L;
  }

  /** Appends a record that already has an offset and a time. */
  void appendAt(LogRecord record) {
    assertThat(record.offset()).isEqualTo(tail());
    records.add(record);
  }

  long tail() {
    return records.size();
  }

  void retainFrom(long offset) {
    first = (int) Math.max(first, offset);
  }

  /** Drops the newest records to simulate a log that lost data. */
  void loseFrom(long offset) {
    records.subList((int) offset, records.size()).clear();
  }

  LogPage read(long from, int maxRecords) {
    int end = (int) Math.min(records.size(), from + maxRecords);
    List<LogRecord> found =
        from < first || from >= end ? List.of() : records.subList((int) from, end);
    return new LogPage(first, records.size(), found);
  }

  List<LogRecord> records(long from, long to) {
    return records.subList((int) from, (int) to);
  }
}
