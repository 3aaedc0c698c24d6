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
   * <p>If the stage fails and {@link PlatformException#mayHaveTakenEffect()} is true, it is unknown
   * whether the record is in the log.
   *
   * @return the offset of the record
   */
  CompletionStage<Long> append(byte[] data);

  /**
   * Reads records in the order of their offsets.
   *
   * @param fromOffset offset of the first record to return
   * @param maxRecords maximum number of records to return
   * @param waitMs longest time that the log may delay the response while there are no records to
   *     return
   */
  CompletionStage<LogPage> read(long fromOffset, int maxRecords, long waitMs);
}
