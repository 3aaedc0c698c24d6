package org.laburnumarch.internal.link;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.lead.DaemonState;
import org.laburnumarch.internal.lead.InstanceSize;
import org.laburnumarch.internal.link.LinkMessage.HandoverMessage;
import org.laburnumarch.internal.link.LinkMessage.Offer;
import org.laburnumarch.internal.link.LinkMessage.OfferReply;
import org.laburnumarch.internal.link.LinkMessage.Released;
import org.laburnumarch.internal.link.LinkMessage.StateReport;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageTypeException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.Value;

/**
 * Encodes the messages of the handover as maps, so that later versions can add fields. Daemons of
 * versions without these messages close a connection on which they get one, so they are sent only
 * to daemons that have shown that they know them.
 */
final class HandoverCodec {

  private static final int STATE = 7;
  private static final int OFFER = 8;
  private static final int OFFER_REPLY = 9;
  private static final int RELEASED = 10;

  private HandoverCodec() {}

  static void encode(HandoverMessage message, MessagePacker out) throws IOException {
    if (message instanceof StateReport report) {
      DaemonState state = report.state();
      out.packInt(STATE).packMapHeader(8);
      out.packString("holder").packString(state.holder());
      out.packString("cores").packDouble(state.size().cores());
      out.packString("linkMbps").packDouble(state.size().linkMbps());
      out.packString("stopping").packBoolean(state.isStopping());
      out.packString("uptimeMs").packLong(state.uptimeMs());
      out.packString("readMs").packLong(state.readMs());
      out.packString("writeMs").packLong(state.writeMs());
      out.packString("timerDelayMs").packLong(state.timerDelayMs());
    } else if (message instanceof Offer offer) {
      out.packInt(OFFER).packMapHeader(2);
      out.packString("term").packLong(offer.term());
      out.packString("number").packLong(offer.number());
    } else if (message instanceof OfferReply reply) {
      out.packInt(OFFER_REPLY).packMapHeader(2);
      out.packString("number").packLong(reply.number());
      out.packString("cause").packString(reply.cause());
    } else if (message instanceof Released released) {
      out.packInt(RELEASED).packMapHeader(2);
      out.packString("record").packBinaryHeader(released.record().length);
      out.writePayload(released.record());
      out.packString("endOffset").packLong(released.endOffset());
    }
  }

  /** Decodes a message; empty if its type is not known. */
  static Optional<HandoverMessage> decode(int type, MessageUnpacker in) throws IOException {
    if (type < STATE || type > RELEASED) {
      return Optional.empty();
    }
    Map<String, Value> fields = new HashMap<>();
    int count = in.unpackMapHeader();
    for (int i = 0; i < count; i++) {
      fields.put(in.unpackString(), in.unpackValue());
    }
    return Optional.of(
        switch (type) {
          case STATE -> new StateReport(state(fields));
          case OFFER -> new Offer(number(fields, "term"), number(fields, "number"));
          case OFFER_REPLY ->
              new OfferReply(
                  number(fields, "number"), field(fields, "cause").asStringValue().asString());
          default ->
              new Released(
                  field(fields, "record").asBinaryValue().asByteArray(),
                  number(fields, "endOffset"));
        });
  }

  private static DaemonState state(Map<String, Value> fields) {
    return new DaemonState(
        field(fields, "holder").asStringValue().asString(),
        new InstanceSize(
            field(fields, "cores").asNumberValue().toDouble(),
            field(fields, "linkMbps").asNumberValue().toDouble()),
        field(fields, "stopping").asBooleanValue().getBoolean(),
        number(fields, "uptimeMs"),
        number(fields, "readMs"),
        number(fields, "writeMs"),
        number(fields, "timerDelayMs"));
  }

  private static long number(Map<String, Value> fields, String name) {
    return field(fields, name).asNumberValue().toLong();
  }

  private static Value field(Map<String, Value> fields, String name) {
    Value value = fields.get(name);
    if (value == null) {
      throw new MessageTypeException("the field " + name + " is missing");
    }
    return value;
  }
}
