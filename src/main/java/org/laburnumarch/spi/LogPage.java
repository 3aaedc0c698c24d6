package org.laburnumarch.spi;

import java.util.List;

/**
 * An answer of the log.
 *
 * @param firstRetainedOffset the oldest offset that can still be read
 * @param tailOffset the offset that the next appended record will get
 * @param records the records found, without gaps; empty if the offset asked for is not retained any
 *     more or nothing was appended in time
 */
public record LogPage(long firstRetainedOffset, long tailOffset, List<LogRecord> records) {

  public LogPage {
    records = List.copyOf(records);
  }
}
