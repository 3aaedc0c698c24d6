package org.laburnumarch.internal.state;

/**
 * Position in the log of the record that is being applied.
 *
 * @param offset offset of the record
 * @param logTimeEpochMs the latest log time up to and including the record
 */
record RecordContext(long offset, long logTimeEpochMs) {}
