package org.laburnumarch.internal.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.lead.InstanceSize;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Tests the stored record of a daemon. */
class DaemonRecordTest {

  @Test
  void shouldReadWhatItWrites() throws IOException {
    DaemonRecord record = new DaemonRecord("127.0.0.1", 7000, new InstanceSize(0.4, 10));
    assertThat(DaemonRecord.decode(record.encode())).isEqualTo(record);
  }

  @Test
  void shouldReadARecordOfAnEarlierVersion() throws IOException {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packString("127.0.0.1").packInt(7000);
      assertThat(DaemonRecord.decode(out.toByteArray()))
          .isEqualTo(new DaemonRecord("127.0.0.1", 7000, InstanceSize.UNKNOWN));
    }
  }
}
