package org.laburnumarch.internal.peer;

import com.google.errorprone.annotations.Immutable;
import java.io.IOException;
import java.util.Arrays;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceRequest;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceTransfer;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceTransferAck;
import org.laburnumarch.internal.peer.PeerMessage.Ping;
import org.laburnumarch.internal.peer.PeerMessage.Pong;
import org.laburnumarch.internal.peer.PeerMessage.Records;
import org.laburnumarch.internal.peer.PeerMessage.RecordsRequest;
import org.laburnumarch.internal.peer.PeerMessage.Snapshot;
import org.laburnumarch.internal.peer.PeerMessage.SnapshotRequest;

/**
 * The types of messages with their numbers. A number is never reused for another type; 1 to 6 are
 * the types of {@link LinkFrameCodec}.
 */
enum PeerMessageType {
  PING(
      16,
      Ping.class,
      2,
      (out, message) -> {
        Ping ping = (Ping) message;
        PeerMessageCodec.writeReport(out.writeLong(ping.pingId()), ping.report());
      },
      in -> new Ping(in.readLong(), PeerMessageCodec.readReport(in))),
  PONG(
      17,
      Pong.class,
      2,
      (out, message) -> {
        Pong pong = (Pong) message;
        PeerMessageCodec.writeReport(out.writeLong(pong.pingId()), pong.report());
      },
      in -> new Pong(in.readLong(), PeerMessageCodec.readReport(in))),
  RECORDS_REQUEST(
      18,
      RecordsRequest.class,
      1,
      (out, message) -> out.writeLong(((RecordsRequest) message).fromOffset()),
      in -> new RecordsRequest(in.readLong())),
  RECORDS(
      19,
      Records.class,
      1,
      (out, message) -> PeerMessageCodec.writeRecords(out, ((Records) message).records()),
      in -> new Records(in.readList(4, PeerMessageCodec::readRecord))),
  SNAPSHOT_REQUEST(20, SnapshotRequest.class, 0, (out, message) -> {}, in -> new SnapshotRequest()),
  SNAPSHOT(
      21,
      Snapshot.class,
      2,
      (out, message) -> {
        Snapshot snapshot = (Snapshot) message;
        out.writeLong(snapshot.nextOffset()).writeBytes(snapshot.state());
      },
      in -> new Snapshot(in.readLong(), in.readBytes())),
  ALLOWANCE_REQUEST(
      22,
      AllowanceRequest.class,
      2,
      (out, message) -> {
        AllowanceRequest request = (AllowanceRequest) message;
        out.writeText(request.team()).writeLong(request.units());
      },
      in -> new AllowanceRequest(in.readText(), in.readInt())),
  ALLOWANCE_TRANSFER(
      23,
      AllowanceTransfer.class,
      3,
      (out, message) -> {
        AllowanceTransfer transfer = (AllowanceTransfer) message;
        out.writeText(transfer.team())
            .writeLong(transfer.epoch())
            .writeLong(transfer.cumulativeUnits());
      },
      in -> new AllowanceTransfer(in.readText(), in.readLong(), in.readLong())),
  ALLOWANCE_TRANSFER_ACK(
      24,
      AllowanceTransferAck.class,
      3,
      (out, message) -> {
        AllowanceTransferAck ack = (AllowanceTransferAck) message;
        out.writeText(ack.team()).writeLong(ack.epoch()).writeLong(ack.cumulativeUnits());
      },
      in -> new AllowanceTransferAck(in.readText(), in.readLong(), in.readLong()));

  /** Writes the fields of a message. */
  @Immutable
  @FunctionalInterface
  private interface Writer {
    void write(FrameWriter writer, PeerMessage message);
  }

  /** Reads the fields of a message. */
  @Immutable
  @FunctionalInterface
  private interface Reader {
    PeerMessage read(FrameReader reader) throws IOException, MalformedFrameException;
  }

  private final int number;
  private final Class<? extends PeerMessage> messageClass;
  private final int fieldCount;
  private final Writer writer;
  private final Reader reader;

  PeerMessageType(
      int number,
      Class<? extends PeerMessage> messageClass,
      int fieldCount,
      Writer writer,
      Reader reader) {
    this.number = number;
    this.messageClass = messageClass;
    this.fieldCount = fieldCount;
    this.writer = writer;
    this.reader = reader;
  }

  /** Returns the number that identifies the type in a frame. */
  int number() {
    return number;
  }

  /** Returns the number of fields after the version and the type. */
  int fieldCount() {
    return fieldCount;
  }

  /** Writes the fields of a message of this type. */
  void write(FrameWriter out, PeerMessage message) {
    writer.write(out, message);
  }

  /** Reads the fields of a message of this type. */
  PeerMessage read(FrameReader in) throws IOException, MalformedFrameException {
    return reader.read(in);
  }

  /** Returns the type of a message. */
  static PeerMessageType of(PeerMessage message) {
    return Arrays.stream(values())
        .filter(type -> type.messageClass == message.getClass())
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no type for " + message.getClass()));
  }

  /** Returns the type that a number identifies. */
  static PeerMessageType ofNumber(int number) throws MalformedFrameException {
    for (PeerMessageType type : values()) {
      if (type.number == number) {
        return type;
      }
    }
    throw new MalformedFrameException("no message type " + number);
  }
}
