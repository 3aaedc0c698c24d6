package org.laburnumarch.internal.share;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * What a later owner must know to continue dividing the pools: the record {@code shares}.
 *
 * @param atEpochMs when it was recorded, in Unix milliseconds
 * @param credits unused credit of each team, in jobs
 * @param debtsMs debts of the teams, by service and team
 * @param invitations the invitations of refused callers, as admission encodes them
 */
public record SharesRecord(
    long atEpochMs,
    Map<String, Double> credits,
    Map<String, Map<String, Double>> debtsMs,
    ByteBuffer invitations) {

  private static final String AT = "atEpochMs";
  private static final String CREDITS = "credits";
  private static final String DEBTS = "debts";
  private static final String INVITATIONS = "invitations";

  /** Largest number of entries of each map, which keeps the record under its size limit. */
  private static final int MAX_ENTRIES = 100;

  /** Encodes the record; of very many teams, only those with the highest values are kept. */
  public byte[] encode() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packMapHeader(4).packString(AT).packLong(atEpochMs).packString(CREDITS);
      packHighest(out, credits, MAX_ENTRIES);
      out.packString(DEBTS).packMapHeader(debtsMs.size());
      for (Map.Entry<String, Map<String, Double>> pool : debtsMs.entrySet()) {
        out.packString(pool.getKey());
        packHighest(out, pool.getValue(), MAX_ENTRIES / Math.max(1, debtsMs.size()));
      }
      out.packString(INVITATIONS).packBinaryHeader(invitations.remaining());
      out.addPayload(bytes(invitations));
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static byte[] bytes(ByteBuffer buffer) {
    byte[] bytes = new byte[buffer.remaining()];
    buffer.duplicate().get(bytes);
    return bytes;
  }

  /** Returns the encoded invitations. */
  public byte[] invitationBytes() {
    return bytes(invitations);
  }

  private static void packHighest(MessageBufferPacker out, Map<String, Double> values, int limit)
      throws IOException {
    List<Map.Entry<String, Double>> highest =
        values.entrySet().stream()
            .sorted(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder()))
            .limit(limit)
            .toList();
    out.packMapHeader(highest.size());
    for (Map.Entry<String, Double> entry : highest) {
      out.packString(entry.getKey()).packFloat(entry.getValue().floatValue());
    }
  }

  /**
   * Decodes a record; fields that this build does not know are ignored.
   *
   * @throws IOException if the bytes are not such a record
   */
  public static SharesRecord decode(byte[] bytes) throws IOException {
    long atEpochMs = 0;
    byte[] invitations = {};
    Map<String, Double> credits = new HashMap<>();
    Map<String, Map<String, Double>> debts = new HashMap<>();
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int fields = in.unpackMapHeader();
      for (int i = 0; i < fields; i++) {
        switch (in.unpackString()) {
          case AT -> atEpochMs = in.unpackLong();
          case CREDITS -> credits.putAll(unpackValues(in));
          case DEBTS -> {
            int pools = in.unpackMapHeader();
            for (int j = 0; j < pools; j++) {
              debts.put(in.unpackString(), unpackValues(in));
            }
          }
          case INVITATIONS -> invitations = in.readPayload(in.unpackBinaryHeader());
          default -> in.skipValue();
        }
      }
    } catch (MessagePackException e) {
      throw new IOException("unreadable record of the shares", e);
    }
    return new SharesRecord(atEpochMs, credits, debts, ByteBuffer.wrap(invitations));
  }

  private static Map<String, Double> unpackValues(MessageUnpacker in) throws IOException {
    int count = in.unpackMapHeader();
    Map<String, Double> values = new HashMap<>();
    for (int i = 0; i < count; i++) {
      values.put(in.unpackString(), (double) in.unpackFloat());
    }
    return values;
  }
}
