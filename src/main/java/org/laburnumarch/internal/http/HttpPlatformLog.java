package org.laburnumarch.internal.http;

import static org.laburnumarch.internal.http.PlatformResponses.requiredLong;
import static org.laburnumarch.internal.http.PlatformResponses.requiredText;

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

/** Reads and appends to one stream of the platform's log over HTTP. */
public final class HttpPlatformLog implements PlatformLog, AutoCloseable {

  /**
   * Time limit of an append, which takes a few milliseconds when the log is available. After a
   * timeout, reading on shows whether the record was appended, which is cheap; the timeout
   * therefore stays well under the 5 s within which a revoked key has to stop working.
   */
  public static final long APPEND_TIMEOUT_MS = 2_000;

  /**
   * Added to the time that a read may wait at the log. It is less than the freshness limit of 3,000
   * ms minus the usual wait of 1,000 ms, so that a daemon does not lose its authority because of
   * one silent connection.
   */
  public static final long READ_TIMEOUT_MS = 1_000;

  private static final byte[] NO_BODY = new byte[0];
  private static final int GONE = 410;

  private final PlatformHttpClient appends;
  private final PlatformHttpClient reads;
  private final String target;

  /**
   * Creates an adapter; no connection is opened before the first call. Appends and reads have
   * connections of their own, so that a failed read does not close the connection of an append.
   *
   * @param address IP address and port of the log
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
        response ->
            PlatformResponses.parseEffect(
                "append", response, node -> requiredLong(node, "offset")));
  }

  @Override
  public CompletionStage<LogPage> read(long fromOffset, int maxRecords, long waitMs) {
    String query = "?from=" + fromOffset + "&max=" + maxRecords + "&waitMs=" + waitMs;
    return reads.call(
        HttpRequestMethod.GET,
        target + query,
        NO_BODY,
        waitMs + READ_TIMEOUT_MS,
        response -> toPage(response, fromOffset));
  }

  private static LogPage toPage(Response response, long fromOffset) {
    if (response.status() == GONE) {
      return PlatformResponses.parseBody("read", response, HttpPlatformLog::parseTruncatedPage);
    }
    return PlatformResponses.parseRead("read", response, node -> parsePage(node, fromOffset));
  }

  private static LogPage parseTruncatedPage(JsonNode node) {
    long first = requiredLong(node, "first");
    return new LogPage(first, node.path("tail").asLong(first), List.of());
  }

  private static LogPage parsePage(JsonNode node, long fromOffset) {
    List<LogRecord> records = new ArrayList<>();
    long expectedOffset = fromOffset;
    for (JsonNode row : node.path("records")) {
      LogRecord parsed = parseRecord(row);
      if (parsed.offset() != expectedOffset) {
        throw new IllegalArgumentException(
            "offset " + parsed.offset() + " where offset " + expectedOffset + " was expected");
      }
      expectedOffset++;
      records.add(parsed);
    }
    return new LogPage(requiredLong(node, "first"), requiredLong(node, "tail"), records);
  }

  private static LogRecord parseRecord(JsonNode row) {
    return new LogRecord(
        requiredLong(row, "offset"),
        requiredLong(row, "appendedAtEpochMs"),
        Base64.getDecoder().decode(requiredText(row, "data")));
  }

  /** Closes all connections; calls in flight fail. */
  @Override
  public void close() {
    appends.close();
    reads.close();
  }
}
