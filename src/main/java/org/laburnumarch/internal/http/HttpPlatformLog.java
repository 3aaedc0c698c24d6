package org.laburnumarch.internal.http;

import static org.laburnumarch.internal.http.PlatformAnswers.requiredLong;
import static org.laburnumarch.internal.http.PlatformAnswers.requiredText;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.http.api.HttpRequestMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.http.PlatformHttpClient.Response;
import org.laburnumarch.spi.LogPage;
import org.laburnumarch.spi.LogRecord;
import org.laburnumarch.spi.PlatformLog;

/** The platform's log over HTTP, as one stream. */
public final class HttpPlatformLog implements PlatformLog, AutoCloseable {

  /**
   * An append takes a few milliseconds when the log is well. A record whose append is given up is
   * looked for by reading on, which is cheap, so the limit stays well under the 5 s within which a
   * revoked key has to stop working.
   */
  public static final long APPEND_TIMEOUT_MS = 2_000;

  /**
   * Added to the time that a read may wait at the log. Under the freshness limit of 3,000 ms less
   * the usual wait of 1,000 ms, so that one silent connection does not cost authority.
   */
  public static final long READ_TIMEOUT_MS = 1_000;

  private static final byte[] NOTHING = new byte[0];
  private static final int GONE = 410;

  private final PlatformHttpClient appends;
  private final PlatformHttpClient reads;
  private final String target;

  /**
   * Creates an adapter; no connection is opened before the first call. Appends and reads have
   * connections of their own, so that a failed read does not disturb an append.
   *
   * @param address IP number and port of the log
   * @param stream the name of the stream
   */
  public HttpPlatformLog(InetSocketAddress address, String stream) {
    this.appends = new PlatformHttpClient(address);
    this.reads = new PlatformHttpClient(address);
    this.target = "/v1/streams/" + stream + "/records";
  }

  @Override
  public CompletionStage<Long> append(byte[] data) {
    return appends.call(
        HttpRequestMethod.POST,
        target,
        data,
        APPEND_TIMEOUT_MS,
        answer ->
            PlatformAnswers.parseEffect("append", answer, node -> requiredLong(node, "offset")));
  }

  @Override
  public CompletionStage<LogPage> read(long fromOffset, int maxRecords, long waitMs) {
    String query = "?from=" + fromOffset + "&max=" + maxRecords + "&waitMs=" + waitMs;
    return reads.call(
        HttpRequestMethod.GET,
        target + query,
        NOTHING,
        waitMs + READ_TIMEOUT_MS,
        answer -> pageOf(answer, fromOffset));
  }

  private static LogPage pageOf(Response answer, long fromOffset) {
    if (answer.status() == GONE) {
      return PlatformAnswers.parseBody("read", answer, HttpPlatformLog::emptyPage);
    }
    return PlatformAnswers.parseRead("read", answer, node -> page(node, fromOffset));
  }

  private static LogPage emptyPage(JsonNode node) {
    long first = requiredLong(node, "first");
    return new LogPage(first, node.path("tail").asLong(first), List.of());
  }

  private static LogPage page(JsonNode node, long fromOffset) {
    List<LogRecord> records = new ArrayList<>();
    long expectedOffset = fromOffset;
    for (JsonNode item : node.path("records")) {
      LogRecord found = recordOf(item);
      if (found.offset() != expectedOffset) {
        throw new IllegalArgumentException(
            "offset " + found.offset() + " where " + expectedOffset + " was due");
      }
      expectedOffset++;
      records.add(found);
    }
    return new LogPage(requiredLong(node, "first"), requiredLong(node, "tail"), records);
  }

  private static LogRecord recordOf(JsonNode item) {
    return new LogRecord(
        requiredLong(item, "offset"),
        requiredLong(item, "appendedAtEpochMs"),
        Base64.getDecoder().decode(requiredText(item, "data")));
  }

  /** Closes all connections; calls in flight fail. */
  @Override
  public void close() {
    appends.close();
    reads.close();
  }
}
