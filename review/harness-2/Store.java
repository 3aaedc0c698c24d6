package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's store: topics of one partition with appends, reads and the newest of each key. */
final class Store {

  private static final long CALL_MS = 4;
  private static final int REPEATS = 5;
  private static final int PAGE = 500;
  private static final Set<String> READ_ONLY = Set.of("keyed.op", "keyed.servers");

  /** What the store says to an append. */
  private record Result(int status, Map<String, Object> body) {}

  private static final class Entry {
    final byte[] raw;
    final String key;
    final byte[] value;
    final long offset;

    Entry(byte[] raw, long offset) {
      this.raw = raw;
      this.offset = offset;
      int length = raw.length == 0 ? 0 : raw[0] & 0xff;
      this.key = raw.length == 0 ? "" : new String(raw, 1, length, StandardCharsets.UTF_8);
      this.value =
          raw.length == 0 ? new byte[0] : java.util.Arrays.copyOfRange(raw, 1 + length, raw.length);
    }
  }

  private static final class Writer {
    long epoch = -1;
    long lastSeq = -1;
    final LinkedHashMap<Long, Result> last = new LinkedHashMap<>();
  }

  private static final class Topic {
    final List<Entry> log = new ArrayList<>();
    final TreeMap<String, Entry> newest = new TreeMap<>();
    final Map<String, Writer> writers = new HashMap<>();
    long first;
  }

  private final Map<String, Topic> topics = new HashMap<>();
  private final Set<String> silent = ConcurrentHashMap.newKeySet();
  private final Record record;
  final HttpServer server;

  Store(Record record) throws IOException {
    this.record = record;
    this.server = Http.listen("127.0.0.1", this::handle);
  }

  /** Lets the calls that concern a topic go without an answer and undone, or ends that. */
  void setSilent(String topic, boolean isSilent) {
    record.add("store: topic %s %s", topic, isSilent ? "is down (no answers)" : "is back");
    if (isSilent) {
      silent.add(topic);
    } else {
      silent.remove(topic);
    }
  }

  /** Writes as the operator or a minion does; a null value drops the key. */
  synchronized void write(String topic, String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    ByteBuffer raw = ByteBuffer.allocate(1 + name.length + (value == null ? 0 : value.length));
    raw.put((byte) name.length).put(name);
    if (value != null) {
      raw.put(value);
    }
    add(topic(topic), raw.array());
    notifyAll();
  }

  /** Returns the newest value of a key; null if there is none. */
  synchronized byte[] value(String topic, String key) {
    Entry entry = topic(topic).newest.get(key);
    return entry == null ? null : entry.value;
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, unused -> new Topic());
  }

  private static long end(Topic topic) {
    return topic.first + topic.log.size();
  }

  private void add(Topic topic, byte[] raw) {
    Entry entry = new Entry(raw, end(topic));
    topic.log.add(entry);
    if (entry.value.length == 0) {
      topic.newest.remove(entry.key);
    } else {
      topic.newest.put(entry.key, entry);
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    Map<String, String> query = Http.query(exchange);
    byte[] body = Http.body(exchange);
    String topic = query.getOrDefault("topic", "");
    if (silent.contains(topic)) {
      return; // The channel returns nothing further.
    }
    Deployment.pause(CALL_MS);
    switch (exchange.getRequestURI().getPath()) {
      case "/v1/log-append" -> append(exchange, topic, query, body);
      case "/v1/log-read" -> read(exchange, topic, query);
      case "/v1/log-newest" -> newest(exchange, topic, query);
      default -> Http.send(exchange, 404, Map.of());
    }
  }

  private void append(HttpExchange exchange, String name, Map<String, String> query, byte[] body)
      throws IOException {
    if (READ_ONLY.contains(name)) {
      Http.send(exchange, 403, Map.of());
      return;
    }
    Result result;
    synchronized (this) {
      result = append(topic(name), query, body);
      notifyAll();
    }
    Http.send(exchange, result.status(), result.body());
  }

  private Result append(Topic topic, Map<String, String> query, byte[] body) {
    Writer writer = null;
    long epoch = 0;
    long seq = 0;
    if (query.containsKey("producer")) {
      writer = topic.writers.computeIfAbsent(query.get("producer"), unused -> new Writer());
      epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
      seq = Long.parseLong(query.getOrDefault("seq", "0"));
      if (epoch < writer.epoch) {
        return new Result(409, Map.of("reason", "fenced"));
      }
      if (epoch == writer.epoch) {
        if (writer.last.containsKey(seq)) {
          return writer.last.get(seq);
        }
        if (seq != writer.lastSeq + 1) {
          return new Result(409, Map.of("reason", "seq", "seq", writer.lastSeq + 1));
        }
      }
    }
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != end(topic)) {
      return new Result(412, Map.of("endOffset", end(topic)));
    }
    long offset = end(topic);
    ByteBuffer in = ByteBuffer.wrap(body);
    while (in.hasRemaining()) {
      byte[] raw = new byte[in.getInt()];
      in.get(raw);
      add(topic, raw);
    }
    Result result = new Result(200, Map.of("offset", offset, "endOffset", end(topic)));
    if (writer != null) {
      if (epoch > writer.epoch) {
        writer.last.clear();
      }
      writer.epoch = epoch;
      writer.lastSeq = seq;
      writer.last.put(seq, result);
      if (writer.last.size() > REPEATS) {
        writer.last.remove(writer.last.keySet().iterator().next());
      }
    }
    return result;
  }

  private void read(HttpExchange exchange, String name, Map<String, String> query)
      throws IOException {
    long from = Long.parseLong(query.getOrDefault("from", "0"));
    long untilMs = record.nowMs() + Long.parseLong(query.getOrDefault("waitMs", "0"));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    synchronized (this) {
      Topic topic = topic(name);
      if (from < topic.first) {
        Http.send(exchange, 410, Map.of("firstOffset", topic.first));
        return;
      }
      long leftMs = untilMs - record.nowMs();
      while (end(topic) <= from && leftMs > 0) {
        try {
          wait(leftMs);
        } catch (InterruptedException e) {
          return;
        }
        leftMs = untilMs - record.nowMs();
      }
      out.writeBytes(ByteBuffer.allocate(16).putLong(end(topic)).putLong(topic.first).array());
      for (long offset = from; offset < end(topic) && out.size() < 1 << 20; offset++) {
        byte[] raw = topic.log.get((int) (offset - topic.first)).raw;
        out.writeBytes(ByteBuffer.allocate(4).putInt(raw.length).array());
        out.writeBytes(raw);
      }
    }
    if (silent.contains(name)) {
      return;
    }
    Http.send(exchange, 200, out.toByteArray(), "application/octet-stream");
  }

  private void newest(HttpExchange exchange, String name, Map<String, String> query)
      throws IOException {
    List<Map<String, Object>> items = new ArrayList<>();
    boolean hasMore = false;
    long end;
    synchronized (this) {
      Topic topic = topic(name);
      for (Entry entry : topic.newest.tailMap(query.getOrDefault("after", ""), false).values()) {
        if (items.size() == PAGE) {
          hasMore = true;
          break;
        }
        items.add(
            Map.of(
                "key", entry.key,
                "value", Base64.getEncoder().encodeToString(entry.value),
                "offset", entry.offset));
      }
      end = end(topic);
    }
    Http.send(exchange, 200, Map.of("items", items, "hasMore", hasMore, "endOffset", end));
  }
}
