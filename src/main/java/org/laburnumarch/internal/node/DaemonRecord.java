package org.laburnumarch.internal.node;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import org.laburnumarch.internal.lead.InstanceSize;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * A daemon's stored record, by which other daemons find it.
 *
 * @param ip IP address on which other daemons reach it
 * @param port port on which other daemons reach it
 * @param size the size of its instance
 */
record DaemonRecord(String ip, int port, InstanceSize size) {

  InetSocketAddress address() {
    return new InetSocketAddress(ip, port);
  }

  byte[] encode() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packString(ip).packInt(port).packDouble(size.cores()).packDouble(size.linkMbps());
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Decodes a record. One of an earlier version has no size.
   *
   * @throws IOException if the bytes are not a daemon's record
   */
  static DaemonRecord decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      String ip = in.unpackString();
      int port = in.unpackInt();
      InstanceSize size =
          in.hasNext()
              ? new InstanceSize(in.unpackDouble(), in.unpackDouble())
              : InstanceSize.UNKNOWN;
      return new DaemonRecord(ip, port, size);
    }
  }
}
