package org.laburnumarch.spi;

import java.util.concurrent.CompletionStage;

/**
 * The platform's append-only log, as one stream.
 *
 * <p>Stages fail with {@link PlatformException}. All methods return at once.
 */
public interface PlatformLog {

  /**
   * Appends one record.
   *
   * <p>A failed stage whose exception says {@link PlatformException#mayHaveTakenEffect()} leaves
   * open whether the record is in the log.
   *
   * @return the offset of the record
   */
  CompletionStage<Long> append(byte[] data);

  /**
   * Reads records in the order of their offsets.
   *
   * @param fromOffset the first offset wanted
   * @param maxRecords the most records to return
   * @param waitMs how long the log may hold the call while there is nothing to return
   */
  CompletionStage<LogPage> read(long fromOffset, int maxRecords, long waitMs);
}
