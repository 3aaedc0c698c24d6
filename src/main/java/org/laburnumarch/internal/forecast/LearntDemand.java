package org.laburnumarch.internal.forecast;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ArrayValue;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;

/**
 * What has been learnt of the demand for all pools, as it is stored. Unknown fields are ignored.
 *
 * @param firstPredictions first predictions that were right, and all that were wrong
 * @param pools what is known by pool
 */
record LearntDemand(HitRecord firstPredictions, Map<String, Pool> pools) {

  /** Largest number of encoded bytes; pools that don't fit are left out. */
  static final int MAX_BYTES = 15_000;

  private static final int FORMAT = 1;

  /**
   * What is known of one pool.
   *
   * @param peaks the last peaks, the oldest first
   * @param errorsMs the last errors of predictions that were right
   * @param record how often predictions were right
   */
  record Pool(List<Peak> peaks, List<Long> errorsMs, HitRecord record) {
    Pool {
      peaks = List.copyOf(peaks);
      errorsMs = List.copyOf(errorsMs);
    }
  }

  LearntDemand {
    pools = Map.copyOf(pools);
  }

  LearntDemand shifted(long byMs) {
    Map<String, Pool> shifted = new TreeMap<>();
    pools.forEach(
        (name, pool) ->
            shifted.put(
                name,
                new Pool(
                    pool.peaks.stream().map(peak -> peak.shifted(byMs)).toList(),
                    pool.errorsMs,
                    pool.record)));
    return new LearntDemand(firstPredictions, shifted);
  }

  byte[] encode() {
    try {
      Map<String, byte[]> encoded = new TreeMap<>();
      int remainingBytes = MAX_BYTES;
      for (Map.Entry<String, Pool> pool : new TreeMap<>(pools).entrySet()) {
        byte[] value = encode(pool.getKey(), pool.getValue());
        if (value.length <= remainingBytes) {
          remainingBytes -= value.length;
          encoded.put(pool.getKey(), value);
        }
      }
      try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
        out.packMapHeader(3).packString("format").packInt(FORMAT);
        out.packString("first");
        pack(out, firstPredictions);
        out.packString("pools").packMapHeader(encoded.size());
        for (byte[] value : encoded.values()) {
          out.writePayload(value);
        }
        return out.toByteArray();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void pack(MessageBufferPacker out, HitRecord record) throws IOException {
    out.packArrayHeader(2).packDouble(record.hits()).packDouble(record.misses());
  }

  private static byte[] encode(String name, Pool pool) throws IOException {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packString(name).packMapHeader(3).packString("record");
      pack(out, pool.record);
      out.packString("errorsMs").packArrayHeader(pool.errorsMs.size());
      for (long errorMs : pool.errorsMs) {
        out.packLong(errorMs);
      }
      out.packString("peaks").packArrayHeader(pool.peaks.size());
      for (Peak peak : pool.peaks) {
        out.packArrayHeader(4)
            .packLong(peak.startMs())
            .packLong(peak.endMs())
            .packInt(peak.level())
            .packBoolean(peak.isStartKnown());
      }
      return out.toByteArray();
    }
  }

  static LearntDemand decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      Map<Value, Value> root = in.unpackValue().asMapValue().map();
      int format = field(root, "format").asIntegerValue().asInt();
      if (format != FORMAT) {
        throw new IOException("unsupported format " + format + " of the learnt demand");
      }
      Map<String, Pool> pools = new TreeMap<>();
      for (Map.Entry<Value, Value> pool : field(root, "pools").asMapValue().entrySet()) {
        pools.put(
            pool.getKey().asStringValue().asString(), toPool(pool.getValue().asMapValue().map()));
      }
      return new LearntDemand(toHitRecord(field(root, "first")), pools);
    } catch (MessagePackException e) {
      throw new IOException("the learnt demand cannot be read", e);
    }
  }

  private static Value field(Map<Value, Value> fields, String name) throws IOException {
    Value value = fields.get(ValueFactory.newString(name));
    if (value == null) {
      throw new IOException("the learnt demand lacks " + name);
    }
    return value;
  }

  private static Pool toPool(Map<Value, Value> fields) throws IOException {
    List<Long> errorsMs = new ArrayList<>();
    for (Value error : field(fields, "errorsMs").asArrayValue()) {
      errorsMs.add(error.asIntegerValue().asLong());
    }
    List<Peak> peaks = new ArrayList<>();
    for (Value value : field(fields, "peaks").asArrayValue()) {
      ArrayValue peak = value.asArrayValue();
      peaks.add(
          new Peak(
              peak.get(0).asIntegerValue().asLong(),
              peak.get(1).asIntegerValue().asLong(),
              peak.get(2).asIntegerValue().asInt(),
              peak.get(3).asBooleanValue().getBoolean()));
    }
    return new Pool(peaks, errorsMs, toHitRecord(field(fields, "record")));
  }

  private static HitRecord toHitRecord(Value value) {
    ArrayValue counts = value.asArrayValue();
    return new HitRecord(
        counts.get(0).asNumberValue().toDouble(), counts.get(1).asNumberValue().toDouble());
  }
}
