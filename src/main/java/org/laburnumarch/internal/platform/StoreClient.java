package org.laburnumarch.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.http.api.HttpRequestMethod;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.http.PlatformHttpClient;
import org.laburnumarch.internal.http.PlatformHttpClient.Response;
import org.laburnumarch.spi.PlatformException;

/**
 * Reads and writes the platform's store: logs that retain the newest record of each key. Only the
 * first partition of each log is used.
 *
 * <p>Stages fail with {@link PlatformException}, which tells whether the call may have taken
 * effect.
 */
public final class StoreClient implements AutoCloseable {

  /** The operators' log: configuration, data centres out of service, maintenance. Read only. */
  public static final String OPERATOR_LOG = "keyed.op";

  /** Registry of the workers, which they write themselves. Read only. */
  public static final String WORKER_REGISTRY_LOG = "keyed.servers";

  /** Log in which the state of maintenance is shown to the operators. */
  public static final String MAINTENANCE_STATUS_LOG = "keyed.status";

  /** Log of this system's jobs. */
  public static final String JOB_LOG = "keyed.jobs";

  /** Log of this system's ownership records. */
  public static final String OWNERSHIP_LOG = "keyed.owner";

  /** Log of this system's daemons and their addresses. */
  public static final String DAEMON_LOG = "keyed.nodes";

  /** Log of what an owner leaves to its successor. */
  public static final String HANDOVER_LOG = "keyed.handover";

  /**
   * A write takes about 4 ms, and 50 times as long when the store is slow. A longer timeout would
   * delay the retry on a new connection when the open one no longer responds.
   */
  public static final long WRITE_TIMEOUT_MS = 1_200;

  /** Time that a response may take in addition to the time that the read waits at the store. */
  public static final long READ_TIMEOUT_MS = 1_000;

  private static final byte[] NO_BODY = new byte[0];
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int CONDITION_FAILED = 412;
  private static final int LENGTH_BYTES = 4;
  private static final int OFFSET_BYTES = 8;

  private final PlatformHttpClient writes;
  private final PlatformHttpClient reads;

  /** Creates a client; no connection is opened before the first call. */
  public StoreClient(InetSocketAddress address, EventLoopThread loop) {
    this.writes = new PlatformHttpClient(address, loop);
    this.reads = new PlatformHttpClient(address, loop);
  }

  /**
   * A record and its offset in the log.
   *
   * @param key the key
   * @param value the value; empty if the key has been deleted
   * @param offset the record's offset
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record StoreRecord(String key, Optional<byte[]> value, long offset) {}

  /**
   * A key and the value to store under it.
   *
   * @param key the key
   * @param value the value; empty to delete the key
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record KeyedValue(String key, Optional<byte[]> value) {}

  /**
   * The position of a write in the sequence of one writer.
   *
   * @param epoch number of the writer; the store refuses writes of lower epochs
   * @param sequence number of the write within the epoch, from 0
   */
  public record WriterPosition(long epoch, long sequence) {}

  /** The outcome of a write that the store responded to. */
  public enum WriteOutcome {
    /** The records are stored. */
    STORED,
    /** The log did not end at the expected offset; nothing is stored. */
    CONDITION_FAILED,
    /** A writer with a higher epoch has taken over. */
    FENCED,
    /** The store expected another sequence number. */
    OUT_OF_SEQUENCE
  }

  /**
   * The store's response to a write.
   *
   * @param outcome outcome of the write
   * @param endOffset the offset after the log's last record; -1 if the store did not report it
   */
  public record WriteResult(WriteOutcome outcome, long endOffset) {}

  /**
   * A part of a log.
   *
   * @param records records from the requested offset on
   * @param endOffset the offset after the log's last record
   * @param nextOffset the offset after the last of these records
   * @param isTruncated whether the requested records are no longer retained, so that the newest
   *     record of each key must be read again
   */
  public record LogChunk(
      List<StoreRecord> records, long endOffset, long nextOffset, boolean isTruncated) {}

  /**
   * A page of the newest record of each key.
   *
   * @param records the records, in the order of their keys
   * @param endOffset the offset after the log's last record when the store built the page
   * @param continueAfter key after which the next page begins; empty on the last page
   */
  public record NewestPage(
      List<StoreRecord> records, long endOffset, Optional<String> continueAfter) {}

  /**
   * Appends either all of the records or none.
   *
   * @param log the log's name
   * @param values the records; an empty list only sets the writer's epoch
   * @param expectedEnd end offset that the log must have; empty for no condition
   * @param writer position in the writer's sequence; empty for a write outside any sequence
   */
  public CompletionStage<WriteResult> append(
      String log,
      List<KeyedValue> values,
      OptionalLong expectedEnd,
      Optional<WriterPosition> writer) {
    return append(log, values, expectedEnd, writer, WRITE_TIMEOUT_MS);
  }

  /**
   * Appends either all of the records or none, within a time limit.
   *
   * @param log the log's name
   * @param values the records; an empty list only sets the writer's epoch
   * @param expectedEnd end offset that the log must have; empty for no condition
   * @param writer position in the writer's sequence; empty for a write outside any sequence
   * @param timeoutMs time limit of the write, in milliseconds
   */
  public CompletionStage<WriteResult> append(
      String log,
      List<KeyedValue> values,
      OptionalLong expectedEnd,
      Optional<WriterPosition> writer,
      long timeoutMs) {
    StringBuilder target = new StringBuilder("/v1/log-append?part=0&topic=").append(log);
    expectedEnd.ifPresent(offset -> target.append("&at=").append(offset));
    writer.ifPresent(
        position ->
            target
                .append("&producer=owner&epoch=")
                .append(position.epoch())
                .append("&seq=")
                .append(position.sequence()));
    return writes.call(
        HttpRequestMethod.POST,
        target.toString(),
        encodeRecords(values),
        timeoutMs,
        StoreClient::toWriteResult);
  }

  private static byte[] encodeRecords(List<KeyedValue> values) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (KeyedValue value : values) {
      byte[] key = value.key().getBytes(StandardCharsets.UTF_8);
      byte[] content = value.value().orElse(NO_BODY);
      int length = 1 + key.length + content.length;
      out.writeBytes(ByteBuffer.allocate(LENGTH_BYTES).putInt(length).array());
      out.write(key.length);
      out.writeBytes(key);
      out.writeBytes(content);
    }
    return out.toByteArray();
  }

  private static WriteResult toWriteResult(Response response) {
    try {
      return switch (response.status()) {
        case OK ->
            new WriteResult(
                WriteOutcome.STORED, Json.numberOr(Json.parse(response.bytes()), "endOffset", -1));
        case CONDITION_FAILED ->
            new WriteResult(
                WriteOutcome.CONDITION_FAILED,
                Json.numberOr(Json.parse(response.bytes()), "endOffset", -1));
        case CONFLICT ->
            new WriteResult(
                "fenced".equals(Json.textOr(Json.parse(response.bytes()), "reason", ""))
                    ? WriteOutcome.FENCED
                    : WriteOutcome.OUT_OF_SEQUENCE,
                -1);
        default ->
            throw PlatformException.withoutEffect(
                "the store responded with status " + response.status(), null);
      };
    } catch (MalformedMessageException e) {
      throw PlatformException.withUnknownEffect("the store's response cannot be parsed", e);
    }
  }

  /**
   * Reads records from an offset on. If there are none, the store waits for one up to a time limit.
   *
   * @param log the log's name
   * @param fromOffset the first offset to read
   * @param waitMs how long the store may wait for a record, in milliseconds
   */
  public CompletionStage<LogChunk> read(String log, long fromOffset, long waitMs) {
    String target =
        "/v1/log-read?part=0&topic=" + log + "&from=" + fromOffset + "&waitMs=" + waitMs;
    return reads.call(
        HttpRequestMethod.GET,
        target,
        NO_BODY,
        waitMs + READ_TIMEOUT_MS,
        response -> toLogChunk(response, fromOffset));
  }

  private static LogChunk toLogChunk(Response response, long fromOffset) {
    if (response.status() == GONE) {
      return new LogChunk(List.of(), -1, fromOffset, true);
    }
    if (response.status() != OK) {
      throw PlatformException.withoutEffect(
          "the store responded with status " + response.status(), null);
    }
    ByteBuffer in = ByteBuffer.wrap(response.bytes());
    if (in.remaining() < 2 * OFFSET_BYTES) {
      throw PlatformException.withoutEffect("the store's response is too short", null);
    }
    long endOffset = in.getLong();
    in.getLong(); // the first retained offset
    List<StoreRecord> records = new ArrayList<>();
    long offset = fromOffset;
    while (in.remaining() >= LENGTH_BYTES) {
      int length = in.getInt();
      if (length < 0 || length > in.remaining()) {
        throw PlatformException.withoutEffect(
            "a record in the store's response is truncated", null);
      }
      decodeRecord(in.slice(in.position(), length), offset).ifPresent(records::add);
      in.position(in.position() + length);
      offset++;
    }
    return new LogChunk(records, endOffset, offset, false);
  }

  private static Optional<StoreRecord> decodeRecord(ByteBuffer content, long offset) {
    if (!content.hasRemaining()) {
      return Optional.empty();
    }
    int keyLength = content.get() & 0xff;
    if (keyLength > content.remaining()) {
      return Optional.empty();
    }
    byte[] key = new byte[keyLength];
    content.get(key);
    byte[] value = new byte[content.remaining()];
    content.get(value);
    return Optional.of(
        new StoreRecord(
            new String(key, StandardCharsets.UTF_8),
            value.length == 0 ? Optional.empty() : Optional.of(value),
            offset));
  }

  /**
   * Reads a page of the newest record of each key.
   *
   * @param log the log's name
   * @param afterKey key after which the page begins; empty for the first page
   */
  public CompletionStage<NewestPage> readNewest(String log, Optional<String> afterKey) {
    return readNewest(log, afterKey, 2 * READ_TIMEOUT_MS);
  }

  /**
   * Reads a page of the newest record of each key within a time limit.
   *
   * @param log the log's name
   * @param afterKey key after which the page begins; empty for the first page
   * @param timeoutMs time limit of the read, in milliseconds
   */
  public CompletionStage<NewestPage> readNewest(
      String log, Optional<String> afterKey, long timeoutMs) {
    String target =
        "/v1/log-newest?part=0&topic="
            + log
            + afterKey
                .map(key -> "&after=" + URLEncoder.encode(key, StandardCharsets.UTF_8))
                .orElse("");
    return reads.call(HttpRequestMethod.GET, target, NO_BODY, timeoutMs, StoreClient::toNewestPage);
  }

  private static NewestPage toNewestPage(Response response) {
    if (response.status() == NOT_FOUND) {
      return new NewestPage(List.of(), 0, Optional.empty());
    }
    if (response.status() != OK) {
      throw PlatformException.withoutEffect(
          "the store responded with status " + response.status(), null);
    }
    try {
      JsonNode root = Json.parse(response.bytes());
      List<StoreRecord> records = new ArrayList<>();
      for (JsonNode row : root.path("items")) {
        byte[] value = Base64.getDecoder().decode(Json.textOr(row, "value", ""));
        records.add(
            new StoreRecord(
                Json.text(row, "key"),
                value.length == 0 ? Optional.empty() : Optional.of(value),
                Json.number(row, "offset")));
      }
      Optional<String> next =
          Json.flag(root, "hasMore") && !records.isEmpty()
              ? Optional.of(records.get(records.size() - 1).key())
              : Optional.empty();
      return new NewestPage(List.copyOf(records), Json.number(root, "endOffset"), next);
    } catch (MalformedMessageException | IllegalArgumentException e) {
      throw PlatformException.withoutEffect("the store's response cannot be parsed", e);
    }
  }

  /** Closes all connections; calls in flight fail. */
  @Override
  public void close() {
    writes.close();
    reads.close();
  }
}
