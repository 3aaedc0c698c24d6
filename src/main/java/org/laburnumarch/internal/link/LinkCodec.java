package org.laburnumarch.internal.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.util.List;
import org.laburnumarch.internal.link.LinkMessage.Announcement;
import org.laburnumarch.internal.link.LinkMessage.Call;
import org.laburnumarch.internal.link.LinkMessage.CallKind;
import org.laburnumarch.internal.link.LinkMessage.HandoverMessage;
import org.laburnumarch.internal.link.LinkMessage.Heartbeat;
import org.laburnumarch.internal.link.LinkMessage.OperatorRecord;
import org.laburnumarch.internal.link.LinkMessage.RecordsRequest;
import org.laburnumarch.internal.link.LinkMessage.Reply;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes messages as MessagePack, each in a frame that begins with its length. */
final class LinkCodec extends ByteToMessageCodec<LinkMessage> {

  /** Longest frame; holds a configuration as long as the longest record that the store accepts. */
  private static final int MAX_FRAME_BYTES = 1 << 20;

  private static final int LENGTH_BYTES = 4;

  private static final int CALL = 1;
  private static final int REPLY = 2;
  private static final int HEARTBEAT = 3;
  private static final int RECORDS_REQUEST = 4;
  private static final int OPERATOR_RECORD = 5;
  private static final int ANNOUNCEMENT = 6;

  /** Adds the framing and this codec to a connection. */
  static void install(ChannelPipeline pipeline) {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
    pipeline.addLast(new LinkCodec());
  }

  @Override
  protected void encode(ChannelHandlerContext context, LinkMessage message, ByteBuf out)
      throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      if (message instanceof Call call) {
        packer
            .packInt(CALL)
            .packLong(call.id())
            .packString(call.kind().name())
            .packString(call.queue())
            .packString(call.jobId())
            .packBinaryHeader(call.payload().length)
            .writePayload(call.payload());
      } else if (message instanceof Reply reply) {
        packer
            .packInt(REPLY)
            .packLong(reply.id())
            .packString(reply.reply().code().name())
            .packString(reply.reply().status())
            .packInt(reply.reply().count())
            .packLong(reply.reply().retryAfterMs());
      } else if (message instanceof Heartbeat heartbeat) {
        packer
            .packInt(HEARTBEAT)
            .packString(heartbeat.holder())
            .packLong(heartbeat.term())
            .packLong(heartbeat.renewalNumber())
            .packLong(heartbeat.renewalAgeMs())
            .packLong(heartbeat.configVersion())
            .packLong(heartbeat.configAgeMs())
            .packBoolean(heartbeat.isSeekingSuccessor());
      } else if (message instanceof Announcement announcement) {
        packer
            .packInt(ANNOUNCEMENT)
            .packBinaryHeader(announcement.record().length)
            .writePayload(announcement.record());
      } else if (message instanceof OperatorRecord stored) {
        packer
            .packInt(OPERATOR_RECORD)
            .packString(stored.key())
            .packLong(stored.offset())
            .packBinaryHeader(stored.value().length)
            .writePayload(stored.value());
      } else if (message instanceof HandoverMessage handover) {
        HandoverCodec.encode(handover, packer);
      } else {
        packer.packInt(RECORDS_REQUEST);
      }
      out.writeBytes(packer.toByteArray());
    }
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws IOException {
    byte[] bytes = new byte[in.readableBytes()];
    in.readBytes(bytes);
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int type = unpacker.unpackInt();
      if (type > ANNOUNCEMENT) {
        // Messages of later versions are ignored.
        HandoverCodec.decode(type, unpacker).ifPresent(out::add);
        return;
      }
      out.add(
          switch (type) {
            case CALL ->
                new Call(
                    unpacker.unpackLong(),
                    CallKind.valueOf(unpacker.unpackString()),
                    unpacker.unpackString(),
                    unpacker.unpackString(),
                    unpacker.readPayload(unpacker.unpackBinaryHeader()));
            case REPLY ->
                new Reply(
                    unpacker.unpackLong(),
                    new JobReply(
                        JobReply.Code.valueOf(unpacker.unpackString()),
                        unpacker.unpackString(),
                        unpacker.unpackInt(),
                        unpacker.unpackLong()));
            case HEARTBEAT ->
                new Heartbeat(
                    unpacker.unpackString(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.hasNext() && unpacker.unpackBoolean());
            case OPERATOR_RECORD -> {
              String key = unpacker.unpackString();
              long offset = unpacker.unpackLong();
              yield new OperatorRecord(
                  key, unpacker.readPayload(unpacker.unpackBinaryHeader()), offset);
            }
            case ANNOUNCEMENT ->
                new Announcement(unpacker.readPayload(unpacker.unpackBinaryHeader()));
            case RECORDS_REQUEST -> new RecordsRequest();
            default -> throw new IOException("message type " + type + " is unknown");
          });
    }
  }
}
