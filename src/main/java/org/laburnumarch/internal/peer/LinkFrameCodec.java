package org.laburnumarch.internal.peer;

import io.vavr.control.Either;
import java.io.IOException;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.msgpack.core.MessagePackException;

/** Encodes and decodes handshake and heartbeat frames, which have the same layout as messages. */
final class LinkFrameCodec {

  private static final int HELLO = 1;
  private static final int CHALLENGE = 2;
  private static final int PROOF = 3;
  private static final int WELCOME = 4;
  private static final int HEARTBEAT = 5;
  private static final int HEARTBEAT_ACK = 6;

  /** Index of the type byte in a frame: after the array header and the version. */
  private static final int TYPE_INDEX = 2;

  private LinkFrameCodec() {}

  /** Returns whether the frame is a handshake or heartbeat frame. */
  static boolean isLinkFrame(byte[] frame) {
    return frame.length > TYPE_INDEX
        && frame[TYPE_INDEX] >= HELLO
        && frame[TYPE_INDEX] <= HEARTBEAT_ACK;
  }

  /** Returns the bytes of a frame. */
  static byte[] encode(LinkFrame frame) {
    if (frame instanceof LinkFrame.Hello hello) {
      return writeIdentity(startFrame(HELLO, 3), hello.identity())
          .writeBytes(hello.nonce())
          .toBytes();
    }
    if (frame instanceof LinkFrame.Challenge challenge) {
      return writeIdentity(startFrame(CHALLENGE, 4), challenge.identity())
          .writeBytes(challenge.nonce())
          .writeBytes(challenge.proof())
          .toBytes();
    }
    if (frame instanceof LinkFrame.Proof proof) {
      return startFrame(PROOF, 1).writeBytes(proof.proof()).toBytes();
    }
    if (frame instanceof LinkFrame.Welcome) {
      return startFrame(WELCOME, 0).toBytes();
    }
    return startFrame(frame instanceof LinkFrame.Heartbeat ? HEARTBEAT : HEARTBEAT_ACK, 0)
        .toBytes();
  }

  private static FrameWriter startFrame(int type, int fieldCount) {
    return new FrameWriter()
        .writeArrayHeader(2 + fieldCount)
        .writeLong(PeerMessageCodec.VERSION)
        .writeLong(type);
  }

  private static FrameWriter writeIdentity(FrameWriter writer, PeerIdentity identity) {
    return writer.writeText(identity.memberId()).writeText(identity.instance());
  }

  /** Decodes a frame; the refusal is {@link ResultCode#FRAME_MALFORMED}. */
  static Either<Refusal, LinkFrame> decode(byte[] frame) {
    try (FrameReader reader = new FrameReader(frame)) {
      int size = reader.readArraySize();
      int version = size < 2 ? 0 : reader.readInt();
      if (version != PeerMessageCodec.VERSION) {
        throw new MalformedFrameException(
            "version " + version + " where " + PeerMessageCodec.VERSION + " is expected");
      }
      LinkFrame decoded = readFields(reader, reader.readInt(), size - 2);
      reader.expectEnd();
      return Either.right(decoded);
    } catch (MalformedFrameException | MessagePackException | IOException e) {
      return Either.left(
          Refusal.of(
              ResultCode.FRAME_MALFORMED,
              "handshake or heartbeat frame cannot be read: " + e.getMessage()));
    }
  }

  private static LinkFrame readFields(FrameReader reader, int type, int fieldCount)
      throws IOException, MalformedFrameException {
    return switch (type * 10 + fieldCount) {
      case HELLO * 10 + 3 -> new LinkFrame.Hello(readIdentity(reader), reader.readBytes());
      case CHALLENGE * 10 + 4 ->
          new LinkFrame.Challenge(readIdentity(reader), reader.readBytes(), reader.readBytes());
      case PROOF * 10 + 1 -> new LinkFrame.Proof(reader.readBytes());
      case WELCOME * 10 -> new LinkFrame.Welcome();
      case HEARTBEAT * 10 -> new LinkFrame.Heartbeat();
      case HEARTBEAT_ACK * 10 -> new LinkFrame.HeartbeatAck();
      default ->
          throw new MalformedFrameException("type " + type + " with " + fieldCount + " fields");
    };
  }

  private static PeerIdentity readIdentity(FrameReader reader)
      throws IOException, MalformedFrameException {
    return new PeerIdentity(reader.readText(), reader.readText());
  }
}
