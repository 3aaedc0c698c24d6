package org.laburnumarch.spi;

/**
 * One record of the log.
 *
 * @param offset its place in the order
 * @param appendedAtEpochMs when the log took it, by the log's own clock
 * @param data its bytes; not to be changed
 */
@SuppressWarnings("ArrayRecordComponent") // Compared by offset only.
public record LogRecord(long offset, long appendedAtEpochMs, byte[] data) {}
