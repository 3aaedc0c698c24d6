package org.laburnumarch.internal.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes the fields of one frame. */
final class FrameWriter {

  private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

  /** Writes one element of a list. */
  @FunctionalInterface
  interface ElementWriter<T> {
    /** Writes the element to the frame. */
    void write(FrameWriter writer, T element);
  }

  /** A write to the packer. It never throws in practice, since the packer writes to memory. */
  @FunctionalInterface
  private interface PackOperation {
    void run() throws IOException;
  }

  /** Writes the header of an array. */
  FrameWriter writeArrayHeader(int size) {
    return pack(() -> packer.packArrayHeader(size));
  }

  /** Writes a list. */
  <T> FrameWriter writeList(List<T> elements, ElementWriter<T> element) {
    writeArrayHeader(elements.size());
    elements.forEach(item -> element.write(this, item));
    return this;
  }

  /** Writes a 64-bit integer. */
  FrameWriter writeLong(long value) {
    return pack(() -> packer.packLong(value));
  }

  /** Writes a UTF-8 string. */
  FrameWriter writeText(String value) {
    return pack(() -> packer.packString(value));
  }

  /** Writes a byte array. */
  FrameWriter writeBytes(byte[] value) {
    return pack(() -> packer.packBinaryHeader(value.length).writePayload(value));
  }

  /** Returns the bytes of the frame. */
  byte[] toBytes() {
    return packer.toByteArray();
  }

  private FrameWriter pack(PackOperation operation) {
    try {
      operation.run();
      return this;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
