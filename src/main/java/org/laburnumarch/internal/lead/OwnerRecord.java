package org.laburnumarch.internal.lead;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * The stored record of which daemon owns the fleet.
 *
 * @param term number of the ownership; increases by one with each claim and serves as fencing token
 * @param holder name of the owning process; unique for each start of a daemon
 * @param host IP address at which other daemons reach it
 * @param port port at which other daemons reach it
 * @param renewalNumber number of the renewal within the term
 * @param isReleased whether the holder has released the ownership
 * @param claimedEpochMs when it was claimed, in Unix milliseconds
 */
public record OwnerRecord(
    long term,
    String holder,
    String host,
    int port,
    long renewalNumber,
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
          .packLong(renewalNumber)
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
   * @throws IOException if the bytes are not a record of a known format
   */
  public static OwnerRecord decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int format = in.unpackInt();
      if (format != FORMAT) {
        throw new IOException("unknown format " + format + " of the ownership record");
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
    return new OwnerRecord(term, holder, host, port, renewalNumber + 1, false, claimedEpochMs);
  }

  /** Returns the record that releases this ownership. */
  public OwnerRecord released() {
    return new OwnerRecord(term, holder, host, port, renewalNumber + 1, true, claimedEpochMs);
  }
}
