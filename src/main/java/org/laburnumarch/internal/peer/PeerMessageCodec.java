package org.laburnumarch.internal.peer;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.peer.PeerMessage.MemberHeartbeat;
import org.laburnumarch.internal.peer.PeerMessage.PoolDemand;
import org.laburnumarch.internal.peer.PeerMessage.RecordData;
import org.laburnumarch.internal.peer.PeerMessage.Report;
import org.msgpack.core.MessagePackException;

/**
 * Encodes messages between daemons as MessagePack arrays: format version, type, then the fields in
 * the order of the record's components.
 */
public final class PeerMessageCodec {

  /** Version of the format. A daemon closes the connection to a peer of another version. */
  public static final int VERSION = 1;

  private PeerMessageCodec() {}

  /** Encodes a message as a frame, without the length prefix. */
  public static byte[] encode(PeerMessage message) {
    PeerMessageType type = PeerMessageType.of(message);
    FrameWriter writer = new FrameWriter().writeArrayHeader(2 + type.fieldCount());
    writer.writeLong(VERSION).writeLong(type.number());
    type.write(writer, message);
    return writer.toBytes();
  }

  /**
   * Decodes a frame.
   *
   * @return the message, or {@link ResultCode#FRAME_MALFORMED} for an unknown version or type, or
   *     for fields of the wrong number or kind
   */
  public static Either<Refusal, PeerMessage> decode(byte[] frame) {
    try (FrameReader reader = new FrameReader(frame)) {
      return Either.right(read(reader));
    } catch (MalformedFrameException | MessagePackException | IOException e) {
      return Either.left(
          Refusal.of(
              ResultCode.FRAME_MALFORMED,
              "frame of "
                  + frame.length
                  + " bytes cannot be read: "
                  + e.getMessage()
                  + "; run the same version on all daemons"));
    }
  }

  private static PeerMessage read(FrameReader reader) throws IOException, MalformedFrameException {
    int size = reader.readArraySize();
    int version = size < 2 ? 0 : reader.readInt();
    if (version != VERSION) {
      throw new MalformedFrameException(
          "version " + version + " where " + VERSION + " is expected");
    }
    PeerMessageType type = PeerMessageType.ofNumber(reader.readInt());
    if (size != 2 + type.fieldCount()) {
      throw new MalformedFrameException(
          size + " fields where " + (2 + type.fieldCount()) + " are expected");
    }
    PeerMessage message = type.read(reader);
    reader.expectEnd();
    return message;
  }

  /** Writes a report as one field. */
  static void writeReport(FrameWriter writer, Report report) {
    writer.writeArrayHeader(4).writeLong(report.nextOffset()).writeLong(report.freshnessAgeMs());
    writer.writeList(
        report.heartbeats(),
        (out, item) -> out.writeArrayHeader(2).writeText(item.memberId()).writeLong(item.ageMs()));
    writer.writeList(
        report.demand(),
        (out, item) ->
            out.writeArrayHeader(3)
                .writeText(item.pool())
                .writeLong(item.running())
                .writeLong(item.queued()));
  }

  /** Reads a report that is one field. */
  static Report readReport(FrameReader reader) throws IOException, MalformedFrameException {
    reader.readArrayHeader(4);
    return new Report(
        reader.readLong(),
        reader.readLong(),
        reader.readList(3, PeerMessageCodec::readHeartbeat),
        reader.readList(4, PeerMessageCodec::readDemand));
  }

  private static MemberHeartbeat readHeartbeat(FrameReader reader)
      throws IOException, MalformedFrameException {
    reader.readArrayHeader(2);
    return new MemberHeartbeat(reader.readText(), reader.readLong());
  }

  private static PoolDemand readDemand(FrameReader reader)
      throws IOException, MalformedFrameException {
    reader.readArrayHeader(3);
    return new PoolDemand(reader.readText(), reader.readInt(), reader.readInt());
  }

  /** Writes records of the log as one field. */
  static void writeRecords(FrameWriter writer, List<RecordData> records) {
    writer.writeList(
        records,
        (out, item) ->
            out.writeArrayHeader(3)
                .writeLong(item.offset())
                .writeLong(item.appendedAtEpochMs())
                .writeBytes(item.data()));
  }

  /** Reads one record of the log. */
  static RecordData readRecord(FrameReader reader) throws IOException, MalformedFrameException {
    reader.readArrayHeader(3);
    return new RecordData(reader.readLong(), reader.readLong(), reader.readBytes());
  }
}
