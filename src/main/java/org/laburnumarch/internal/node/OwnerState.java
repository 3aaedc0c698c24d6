package org.laburnumarch.internal.node;

import org.laburnumarch.internal.node.JobStore.Contents;

/**
 * A small record of what an owner has learnt, which goes on to a later owner. Nothing that the
 * safety of jobs depends on may be stored in it: the record may be missing or out of date.
 *
 * @param name name of the record; a newer record replaces an older one of the same name
 * @param value the encoded record; at most {@link #MAX_BYTES} long
 * @see Contents#states()
 */
@SuppressWarnings("ArrayRecordComponent")
record OwnerState(String name, byte[] value) {

  /** Largest length of a record in bytes, since all records are read in a takeover. */
  static final int MAX_BYTES = 16_384;

  /**
   * Checks the length.
   *
   * @throws IllegalArgumentException if the value is too long
   */
  OwnerState {
    if (value.length > MAX_BYTES) {
      throw new IllegalArgumentException(
          "the state " + name + " takes " + value.length + " bytes of at most " + MAX_BYTES);
    }
  }
}
