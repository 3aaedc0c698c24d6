package org.laburnumarch.internal.node;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * What must outlive an owner of a maintenance wave.
 *
 * @param number the wave's number
 * @param seenEpochMs when an owner first saw it, in Unix milliseconds
 * @param begun instances whose maintenance has begun
 */
record WaveRecord(long number, long seenEpochMs, Set<String> begun) {

  private static final int FORMAT = 1;

  WaveRecord {
    begun = Set.copyOf(begun);
  }

  byte[] encode() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(FORMAT).packLong(number).packLong(seenEpochMs).packArrayHeader(begun.size());
      for (String machine : begun) {
        out.packString(machine);
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static WaveRecord decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int format = in.unpackInt();
      if (format != FORMAT) {
        throw new IOException("format " + format + " of a wave is not known");
      }
      long number = in.unpackLong();
      long seenEpochMs = in.unpackLong();
      int count = in.unpackArrayHeader();
      Set<String> begun = new HashSet<>();
      for (int i = 0; i < count; i++) {
        begun.add(in.unpackString());
      }
      return new WaveRecord(number, seenEpochMs, begun);
    }
  }
}
