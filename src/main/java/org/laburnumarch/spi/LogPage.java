package org.laburnumarch.spi;

import java.util.List;

/**
 * The result of a read from the log.
 *
 * @param firstRetainedOffset the oldest offset that can still be read
 * @param tailOffset the offset that the next appended record will get
 * @param records consecutive records from the requested offset on; empty if that offset is no
 *     longer retained or nothing was appended in time
 */
public record LogPage(long firstRetainedOffset, long tailOffset, List<LogRecord> records) {

  public LogPage {
    records = List.copyOf(records);
  }
}
