package org.laburnumarch.internal.lead;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.OptionalLong;
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
 * @param claimedEpochMs when it was claimed by the holder's wall clock, in Unix milliseconds; no
 *     decision depends on it, because wall clocks differ and are set
 * @param successor name of the process to which a released ownership has been offered and that has
 *     accepted it; otherwise empty
 * @param earlierOrdersLeftMs time in milliseconds, from the write of this record, after which no
 *     owner before the holder sends orders; a reader counts it from when it reads the record, since
 *     the clocks of daemons differ; empty if the holder does not know
 */
public record OwnerRecord(
    long term,
    String holder,
    String host,
    int port,
    long renewalNumber,
    boolean isReleased,
    long claimedEpochMs,
    String successor,
    OptionalLong earlierOrdersLeftMs) {

  private static final int FORMAT = 1;

  /** Creates the record of an owner that knows nothing of earlier ones and names no successor. */
  public OwnerRecord(
      long term,
      String holder,
      String host,
      int port,
      long renewalNumber,
      boolean isReleased,
      long claimedEpochMs) {
    this(
        term,
        holder,
        host,
        port,
        renewalNumber,
        isReleased,
        claimedEpochMs,
        "",
        OptionalLong.empty());
  }

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
          .packLong(claimedEpochMs)
          .packString(successor);
      if (earlierOrdersLeftMs.isPresent()) {
        out.packLong(earlierOrdersLeftMs.getAsLong());
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Decodes a record. One of an earlier version lacks the last fields; earlier versions ignore
   * them.
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
          in.unpackLong(),
          in.hasNext() ? in.unpackString() : "",
          in.hasNext() ? OptionalLong.of(in.unpackLong()) : OptionalLong.empty());
    }
  }

  /** Returns the record that renews this ownership. */
  public OwnerRecord renewed() {
    return renewed(earlierOrdersLeftMs);
  }

  /**
   * Returns the record that renews this ownership.
   *
   * @param newOrdersLeftMs time in milliseconds after which no earlier owner sends orders; empty if
   *     it is not known
   */
  public OwnerRecord renewed(OptionalLong newOrdersLeftMs) {
    return new OwnerRecord(
        term, holder, host, port, renewalNumber + 1, false, claimedEpochMs, "", newOrdersLeftMs);
  }

  /** Returns the record that releases this ownership. */
  public OwnerRecord released() {
    return releasedTo("");
  }

  /**
   * Returns the record that releases this ownership to one process.
   *
   * @param chosen name of the process that has accepted it; empty for any
   */
  public OwnerRecord releasedTo(String chosen) {
    return new OwnerRecord(
        term,
        holder,
        host,
        port,
        renewalNumber + 1,
        true,
        claimedEpochMs,
        chosen,
        earlierOrdersLeftMs);
  }

  /** Returns whether this ownership is released to another process than the given one. */
  public boolean isReservedForOtherThan(String process) {
    return isReleased && !successor.isEmpty() && !successor.equals(process);
  }
}
