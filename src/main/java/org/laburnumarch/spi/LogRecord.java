package org.laburnumarch.spi;

/**
 * One record of the log.
 *
 * @param offset its position in the log
 * @param appendedAtEpochMs when the log appended it, by the log's own clock
 * @param data its content; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent") // Compared by offset only.
public record LogRecord(long offset, long appendedAtEpochMs, byte[] data) {}
