package org.laburnumarch.internal.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.lead.DaemonState;
import org.laburnumarch.internal.lead.InstanceSize;
import org.laburnumarch.internal.link.LinkMessage.Heartbeat;
import org.laburnumarch.internal.link.LinkMessage.Offer;
import org.laburnumarch.internal.link.LinkMessage.OfferReply;
import org.laburnumarch.internal.link.LinkMessage.Released;
import org.laburnumarch.internal.link.LinkMessage.StateReport;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Tests the messages between daemons, also of other versions. */
class LinkCodecTest {

  private final EmbeddedChannel channel = new EmbeddedChannel(new LinkCodec());

  private LinkMessage roundTrip(LinkMessage message) {
    channel.writeOutbound(message);
    ByteBuf encoded = channel.readOutbound();
    channel.writeInbound(encoded);
    return channel.readInbound();
  }

  private void receive(MessageBufferPacker message) throws IOException {
    channel.writeInbound(Unpooled.wrappedBuffer(message.toByteArray()));
  }

  @Test
  void shouldDecodeEncodedMessages() {
    List<LinkMessage> messages =
        List.of(
            new Heartbeat("a/1", 2, 3, 4, 5, 6, true),
            new StateReport(
                new DaemonState("b/2", new InstanceSize(0.36, 7), true, 5, -1, 240, 17)),
            new Offer(3, 1),
            new OfferReply(1, "stopping"),
            new OfferReply(2, ""));
    for (LinkMessage message : messages) {
      assertThat(roundTrip(message)).isEqualTo(message);
    }
    Released released = (Released) roundTrip(new Released(new byte[] {1, 2}, -1));
    assertThat(released.record()).containsExactly(1, 2);
    assertThat(released.endOffset()).isEqualTo(-1);
  }

  /** Guards against connections that end in a rolling restart to a new version. */
  @Test
  void shouldIgnoreMessagesOfLaterVersions() throws IOException {
    try (MessageBufferPacker later = MessagePack.newDefaultBufferPacker()) {
      later.packInt(99).packString("anything");
      receive(later);
    }
    assertThat((LinkMessage) channel.readInbound()).isNull();
    try (MessageBufferPacker offer = MessagePack.newDefaultBufferPacker()) {
      offer.packInt(8).packMapHeader(3).packString("term").packLong(3);
      offer.packString("later").packMapHeader(0).packString("number").packLong(1);
      receive(offer);
    }
    assertThat((LinkMessage) channel.readInbound()).isEqualTo(new Offer(3, 1));
  }

  @Test
  void shouldDecodeAHeartbeatOfAnEarlierVersion() throws IOException {
    try (MessageBufferPacker earlier = MessagePack.newDefaultBufferPacker()) {
      earlier.packInt(3).packString("a/1").packLong(2).packLong(3).packLong(4).packLong(5);
      earlier.packLong(6);
      receive(earlier);
    }
    assertThat((LinkMessage) channel.readInbound())
        .isEqualTo(new Heartbeat("a/1", 2, 3, 4, 5, 6, false));
  }
}
