package org.laburnumarch.internal.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.laburnumarch.spi.LogPage;
import org.laburnumarch.spi.LogRecord;

/** One stream of the log stand-in, kept in memory and limited in record count and age. */
final class RetainedStream {

  private final int maxRecords;
  private final long maxAgeMs;
  private final Deque<LogRecord> retained = new ArrayDeque<>();
  private long tailOffset;

  /**
   * Creates an empty stream.
   *
   * @param maxRecords maximum number of records retained
   * @param maxAgeMs how long a record is retained
   */
  RetainedStream(int maxRecords, long maxAgeMs) {
    this.maxRecords = maxRecords;
    this.maxAgeMs = maxAgeMs;
  }

  /** Appends a record and returns its offset. */
  synchronized long append(byte[] data, long nowEpochMs) {
    long offset = tailOffset++;
    retained.addLast(new LogRecord(offset, nowEpochMs, data));
    removeExpired(nowEpochMs);
    return offset;
  }

  /** Returns the records from an offset on; none if that offset is no longer retained. */
  synchronized LogPage read(long fromOffset, int maxReturned, long nowEpochMs) {
    removeExpired(nowEpochMs);
    List<LogRecord> found = new ArrayList<>();
    if (fromOffset >= firstOffset()) {
      for (LogRecord candidate : retained) {
        if (candidate.offset() >= fromOffset && found.size() < maxReturned) {
          found.add(candidate);
        }
      }
    }
    return new LogPage(firstOffset(), tailOffset, found);
  }

  private long firstOffset() {
    return tailOffset - retained.size();
  }

  private void removeExpired(long nowEpochMs) {
    while (!retained.isEmpty()
        && (retained.size() > maxRecords
            || nowEpochMs - retained.peekFirst().appendedAtEpochMs() > maxAgeMs)) {
      retained.removeFirst();
    }
  }
}
