package org.laburnumarch.internal.runtime;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes what has been learnt about run times as MessagePack: a map from the level to its entries.
 * Unknown levels, and further values of an entry, are ignored.
 */
final class RunTimesCodec {

  private static final String QUEUES = "queues";
  private static final String IMAGES = "images";
  private static final String KINDS = "kinds";

  /** Bytes of a record besides its entries. */
  private static final int HEADER_BYTES = 64;

  /** Longest name of an entry; entries with longer names are not stored. */
  private static final int MAX_NAME_LENGTH = 200;

  private static final double KNOT_SCALE = 1_000;
  private static final int VALUES_OF_MODEL = 7;
  private static final int VALUES_OF_KIND_KEY = 5;
  private static final double MAX_ABSOLUTE_VALUE = 100;
  private static final int KNOT_COUNT = 10;

  /** The decoded models. */
  record Contents(
      Map<String, RunTimeModel> queues,
      Map<String, RunTimeModel> images,
      Map<KindKey, RunTimeModel> kinds) {}

  /** Writes the key of an entry. */
  private interface KeyPacker<K> {
    void pack(MessageBufferPacker out, K key) throws IOException;
  }

  private RunTimesCodec() {}

  static byte[] encode(
      Map<String, RunTimeModel> queues,
      Map<String, RunTimeModel> images,
      Map<KindKey, RunTimeModel> kinds,
      int maxBytes) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      // Coarser levels first: they serve more tasks with fewer bytes.
      out.packMapHeader(3);
      int remaining = maxBytes - HEADER_BYTES;
      remaining -= packLevel(out, QUEUES, queues, 1, MessageBufferPacker::packString, remaining);
      remaining -= packLevel(out, IMAGES, images, 1, MessageBufferPacker::packString, remaining);
      packLevel(out, KINDS, kinds, VALUES_OF_KIND_KEY, RunTimesCodec::packKind, remaining);
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void packKind(MessageBufferPacker out, KindKey key) throws IOException {
    out.packString(key.name())
        .packBoolean(key.isImage())
        .packInt(key.cpuClass())
        .packInt(key.memoryClass())
        .packBoolean(key.hasGpus());
  }

  /** Packs the entries that were used last; returns the number of bytes of the entries. */
  private static <K> int packLevel(
      MessageBufferPacker out,
      String level,
      Map<K, RunTimeModel> models,
      int keyValues,
      KeyPacker<K> keyPacker,
      int maxBytes)
      throws IOException {
    List<Map.Entry<K, RunTimeModel>> newestFirst = new ArrayList<>(models.entrySet());
    Collections.reverse(newestFirst);
    ByteArrayOutputStream entries = new ByteArrayOutputStream();
    int count = 0;
    for (Map.Entry<K, RunTimeModel> entry : newestFirst) {
      byte[] encoded = packEntry(entry, keyValues, keyPacker);
      if (nameLength(entry.getKey()) <= MAX_NAME_LENGTH
          && entries.size() + encoded.length <= maxBytes) {
        entries.write(encoded);
        count++;
      }
    }
    out.packString(level).packArrayHeader(count).writePayload(entries.toByteArray());
    return entries.size();
  }

  private static int nameLength(Object key) {
    return key instanceof KindKey kind ? kind.name().length() : key.toString().length();
  }

  private static <K> byte[] packEntry(
      Map.Entry<K, RunTimeModel> entry, int keyValues, KeyPacker<K> keyPacker) throws IOException {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      RunTimeModel.Stored model = entry.getValue().store();
      out.packArrayHeader(keyValues + VALUES_OF_MODEL);
      keyPacker.pack(out, entry.getKey());
      out.packInt(model.runs())
          .packFloat((float) model.meanLogEstimate())
          .packFloat((float) model.meanLogMs())
          .packFloat((float) model.variance())
          .packFloat((float) model.covariance());
      packKnots(out, model.recentKnots());
      packKnots(out, model.tailKnots());
      return out.toByteArray();
    }
  }

  private static void packKnots(MessageBufferPacker out, double[] knots) throws IOException {
    out.packArrayHeader(knots.length);
    for (double knot : knots) {
      out.packInt((int) Math.round(knot * KNOT_SCALE));
    }
  }

  static Contents decode(byte[] record) throws IOException {
    Contents contents =
        new Contents(new LinkedHashMap<>(), new LinkedHashMap<>(), new LinkedHashMap<>());
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(record)) {
      int levels = in.unpackMapHeader();
      for (int i = 0; i < levels; i++) {
        decodeLevel(in, in.unpackString(), contents);
      }
    } catch (RuntimeException e) {
      throw new IOException("the record of run times is unreadable", e);
    }
    return new Contents(
        oldestFirst(contents.queues()),
        oldestFirst(contents.images()),
        oldestFirst(contents.kinds()));
  }

  private static void decodeLevel(MessageUnpacker in, String level, Contents contents)
      throws IOException {
    if (!level.equals(QUEUES) && !level.equals(IMAGES) && !level.equals(KINDS)) {
      in.skipValue();
      return;
    }
    int count = in.unpackArrayHeader();
    for (int i = 0; i < count; i++) {
      int values = in.unpackArrayHeader();
      if (level.equals(KINDS)) {
        KindKey key =
            new KindKey(
                in.unpackString(),
                in.unpackBoolean(),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackBoolean());
        contents.kinds().put(key, decodeModel(in));
        in.skipValue(values - VALUES_OF_KIND_KEY - VALUES_OF_MODEL);
      } else {
        String name = in.unpackString();
        (level.equals(QUEUES) ? contents.queues() : contents.images()).put(name, decodeModel(in));
        in.skipValue(values - 1 - VALUES_OF_MODEL);
      }
    }
  }

  private static RunTimeModel decodeModel(MessageUnpacker in) throws IOException {
    int runs = in.unpackInt();
    if (runs < 0) {
      throw new IOException("a number of runs is negative");
    }
    return RunTimeModel.restore(
        new RunTimeModel.Stored(
            runs,
            number(in),
            number(in),
            number(in),
            number(in),
            decodeKnots(in),
            decodeKnots(in)));
  }

  private static double number(MessageUnpacker in) throws IOException {
    double value = in.unpackFloat();
    if (!(Math.abs(value) <= MAX_ABSOLUTE_VALUE)) {
      throw new IOException("a value is out of range");
    }
    return value;
  }

  private static double[] decodeKnots(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    if (count != KNOT_COUNT) {
      throw new IOException("a distribution has " + count + " quantiles");
    }
    double[] knots = new double[count];
    for (int i = 0; i < count; i++) {
      knots[i] = in.unpackInt() / KNOT_SCALE;
    }
    return knots;
  }

  private static <K> Map<K, RunTimeModel> oldestFirst(Map<K, RunTimeModel> newestFirst) {
    List<Map.Entry<K, RunTimeModel>> entries = new ArrayList<>(newestFirst.entrySet());
    Collections.reverse(entries);
    Map<K, RunTimeModel> result = new LinkedHashMap<>();
    entries.forEach(entry -> result.put(entry.getKey(), entry.getValue()));
    return result;
  }
}
