package org.laburnumarch.internal.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields of one frame. Declared sizes are checked against the remaining bytes before
 * anything is allocated.
 */
final class FrameReader implements AutoCloseable {

  /** Maximum size of a text field; names of members, pools and teams are far shorter. */
  static final int MAX_TEXT_BYTES = 1_024;

  private final int sizeBytes;
  private final MessageUnpacker unpacker;

  /** Reads one element of a list. */
  @FunctionalInterface
  interface ElementReader<T> {
    /** Reads the next element from the frame. */
    T read(FrameReader reader) throws IOException, MalformedFrameException;
  }

  /** Starts at the first byte of a frame. */
  FrameReader(byte[] frame) {
    this.sizeBytes = frame.length;
    this.unpacker = MessagePack.newDefaultUnpacker(frame);
  }

  /** Reads the header of an array that must have exactly {@code expectedSize} elements. */
  void readArrayHeader(int expectedSize) throws IOException, MalformedFrameException {
    int size = unpacker.unpackArrayHeader();
    if (size != expectedSize) {
      throw new MalformedFrameException(size + " fields where " + expectedSize + " are expected");
    }
  }

  /** Reads the header of an array of any size that fits into the frame. */
  int readArraySize() throws IOException, MalformedFrameException {
    return checkSize(unpacker.unpackArrayHeader(), remaining());
  }

  /** Reads a list; each element takes at least {@code minElementBytes}. */
  <T> List<T> readList(int minElementBytes, ElementReader<T> elementReader)
      throws IOException, MalformedFrameException {
    int size = checkSize(unpacker.unpackArrayHeader(), remaining() / minElementBytes);
    List<T> elements = new ArrayList<>(size);
    for (int i = 0; i < size; i++) {
      elements.add(elementReader.read(this));
    }
    return elements;
  }

  /** Reads a 64-bit integer. */
  long readLong() throws IOException {
    return unpacker.unpackLong();
  }

  /** Reads a 32-bit integer. */
  int readInt() throws IOException {
    return unpacker.unpackInt();
  }

  /** Reads a UTF-8 string. */
  String readText() throws IOException, MalformedFrameException {
    int size = checkSize(unpacker.unpackRawStringHeader(), Math.min(MAX_TEXT_BYTES, remaining()));
    try {
      return StandardCharsets.UTF_8
          .newDecoder()
          .decode(ByteBuffer.wrap(unpacker.readPayload(size)))
          .toString();
    } catch (CharacterCodingException e) {
      throw new MalformedFrameException("text that is not UTF-8");
    }
  }

  /** Reads a byte array. */
  byte[] readBytes() throws IOException, MalformedFrameException {
    return unpacker.readPayload(checkSize(unpacker.unpackBinaryHeader(), remaining()));
  }

  /** Throws an exception unless the whole frame has been read. */
  void expectEnd() throws MalformedFrameException {
    if (remaining() != 0) {
      throw new MalformedFrameException(remaining() + " bytes after the last field");
    }
  }

  private int remaining() {
    return (int) (sizeBytes - unpacker.getTotalReadBytes());
  }

  private static int checkSize(int declared, int bound) throws MalformedFrameException {
    if (declared < 0 || declared > bound) {
      throw new MalformedFrameException(
          "declared size " + declared + ", but at most " + bound + " is possible");
    }
    return declared;
  }

  @Override
  public void close() throws IOException {
    unpacker.close();
  }
}
