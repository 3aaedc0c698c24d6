package org.laburnumarch.internal.node;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * The state of a maintenance wave that a later owner needs to continue it.
 *
 * @param number the wave's number
 * @param seenEpochMs when an owner first saw it, in Unix milliseconds
 * @param startedMachines names of the instances whose maintenance has started
 */
record WaveRecord(long number, long seenEpochMs, Set<String> startedMachines) {

  private static final int FORMAT = 1;

  WaveRecord {
    startedMachines = Set.copyOf(startedMachines);
  }

  byte[] encode() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(FORMAT)
          .packLong(number)
          .packLong(seenEpochMs)
          .packArrayHeader(startedMachines.size());
      for (String machine : startedMachines) {
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
        throw new IOException("unsupported format " + format + " of a maintenance wave");
      }
      long number = in.unpackLong();
      long seenEpochMs = in.unpackLong();
      int count = in.unpackArrayHeader();
      Set<String> startedMachines = new HashSet<>();
      for (int i = 0; i < count; i++) {
        startedMachines.add(in.unpackString());
      }
      return new WaveRecord(number, seenEpochMs, startedMachines);
    }
  }
}
