package org.laburnumarch.internal.lead;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * The stored word on who owns the fleet.
 *
 * @param term number of the ownership; rises by one with each claim and serves as fencing token
 * @param holder name of the process that owns; new for each start of a daemon
 * @param host IP number on which other daemons reach it
 * @param port port on which other daemons reach it
 * @param beat number of the renewal within the term
 * @param isReleased whether the holder has given the ownership up
 * @param claimedEpochMs when it was claimed, in Unix milliseconds
 */
public record OwnerRecord(
    long term,
    String holder,
    String host,
    int port,
    long beat,
    boolean isReleased,
    long claimedEpochMs) {

  private static final int FORMAT = 1;

  /** Encodes the record. */
  public byte[] encode() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(FORMAT)
          .packLong(term)
          .packString(holder)
          .packString(host)
          .packInt(port)
          .packLong(beat)
          .packBoolean(isReleased)
          .packLong(claimedEpochMs);
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Decodes a record.
   *
   * @throws IOException if the bytes hold no record of a known format
   */
  public static OwnerRecord decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int format = in.unpackInt();
      if (format != FORMAT) {
        throw new IOException("format " + format + " of the ownership record is not known");
      }
      return new OwnerRecord(
          in.unpackLong(),
          in.unpackString(),
          in.unpackString(),
          in.unpackInt(),
          in.unpackLong(),
          in.unpackBoolean(),
          in.unpackLong());
    }
  }

  /** Returns the record that renews this ownership. */
  public OwnerRecord renewed() {
    return new OwnerRecord(term, holder, host, port, beat + 1, false, claimedEpochMs);
  }

  /** Returns the record that gives this ownership up. */
  public OwnerRecord released() {
    return new OwnerRecord(term, holder, host, port, beat + 1, true, claimedEpochMs);
  }
}
