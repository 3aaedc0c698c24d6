package org.laburnumarch.internal.peer;

import com.google.errorprone.annotations.Immutable;
import java.io.IOException;
import java.util.Arrays;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceMoved;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceMovedAck;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceWanted;
import org.laburnumarch.internal.peer.PeerMessage.Ping;
import org.laburnumarch.internal.peer.PeerMessage.Pong;
import org.laburnumarch.internal.peer.PeerMessage.Records;
import org.laburnumarch.internal.peer.PeerMessage.RecordsWanted;
import org.laburnumarch.internal.peer.PeerMessage.Snapshot;
import org.laburnumarch.internal.peer.PeerMessage.SnapshotWanted;

/** The types of messages with their numbers. A number is never reused for another type. */
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
  RECORDS_WANTED(
      18,
      RecordsWanted.class,
      1,
      (out, message) -> out.writeLong(((RecordsWanted) message).fromOffset()),
      in -> new RecordsWanted(in.readLong())),
  RECORDS(
      19,
      Records.class,
      1,
      (out, message) -> PeerMessageCodec.writeRecords(out, ((Records) message).records()),
      in -> new Records(in.readList(4, PeerMessageCodec::readRecord))),
  SNAPSHOT_WANTED(20, SnapshotWanted.class, 0, (out, message) -> {}, in -> new SnapshotWanted()),
  SNAPSHOT(
      21,
      Snapshot.class,
      2,
      (out, message) -> {
        Snapshot snapshot = (Snapshot) message;
        out.writeLong(snapshot.nextOffset()).writeBytes(snapshot.state());
      },
      in -> new Snapshot(in.readLong(), in.readBytes())),
  ALLOWANCE_WANTED(
      22,
      AllowanceWanted.class,
      2,
      (out, message) -> {
        AllowanceWanted wanted = (AllowanceWanted) message;
        out.writeText(wanted.team()).writeLong(wanted.units());
      },
      in -> new AllowanceWanted(in.readText(), in.readInt())),
  ALLOWANCE_MOVED(
      23,
      AllowanceMoved.class,
      3,
      (out, message) -> {
        AllowanceMoved moved = (AllowanceMoved) message;
        out.writeText(moved.team()).writeLong(moved.epoch()).writeLong(moved.cumulativeUnits());
      },
      in -> new AllowanceMoved(in.readText(), in.readLong(), in.readLong())),
  ALLOWANCE_MOVED_ACK(
      24,
      AllowanceMovedAck.class,
      3,
      (out, message) -> {
        AllowanceMovedAck ack = (AllowanceMovedAck) message;
        out.writeText(ack.team()).writeLong(ack.epoch()).writeLong(ack.cumulativeUnits());
      },
      in -> new AllowanceMovedAck(in.readText(), in.readLong(), in.readLong()));

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
