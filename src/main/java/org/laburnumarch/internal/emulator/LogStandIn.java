package org.laburnumarch.internal.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.laburnumarch.spi.LogPage;
import org.laburnumarch.spi.LogRecord;

/**
 * Stand-in for the platform's log with offsets, retention by count and age, long polling, and
 * faults that are controlled by {@code POST /control}.
 *
 * <p>Fields of a control request, all optional: {@code outage} ({@code none}, {@code unavailable}
 * for 503, {@code silent}), {@code slowMs} (delay of each response), {@code loseAnswers} (that many
 * appends take effect but get no response), {@code silenceExisting} (no further responses on the
 * connections that are open now).
 */
public final class LogStandIn implements AutoCloseable {

  private static final int MAX_CONNECTIONS = 1_024;
  private static final String PREFIX = "/v1/streams/";
  private static final String SUFFIX = "/records";
  private static final int DEFAULT_PAGE_RECORDS = 500;
  private static final long MAX_WAIT_MS = 30_000;

  /** The kind of outage that the stand-in simulates. */
  private enum Outage {
    NONE,
    UNAVAILABLE,
    SILENT
  }

  private final int maxRecords;
  private final long maxAgeMs;
  private final LongSupplier epochMs;
  private final Map<String, RetainedStream> streams = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<Runnable> waitingReads = new ConcurrentLinkedQueue<>();
  private final AtomicLong responsesToLose = new AtomicLong();
  private final AtomicLong appends = new AtomicLong();
  private final Timer timer = new Timer("log-stand-in");
  private final StandInServer server;
  private volatile Outage outage = Outage.NONE;
  private volatile long slowMs;

  private LogStandIn(InetSocketAddress address, int maxRecords, long maxAgeMs, LongSupplier epochMs)
      throws Exception {
    this.maxRecords = maxRecords;
    this.maxAgeMs = maxAgeMs;
    this.epochMs = epochMs;
    this.server = StandInServer.start(address, MAX_CONNECTIONS, this::handle);
  }

  /**
   * Starts the stand-in.
   *
   * @param address where to listen; port 0 picks a free one
   * @param maxRecords maximum number of records retained per stream
   * @param maxAgeMs how long a record is retained
   * @param epochMs the log's own clock
   */
  public static LogStandIn start(
      InetSocketAddress address, int maxRecords, long maxAgeMs, LongSupplier epochMs)
      throws Exception {
    return new LogStandIn(address, maxRecords, maxAgeMs, epochMs);
  }

  /** Returns where the stand-in listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Returns the number of appends that took effect. */
  public long appendCount() {
    return appends.get();
  }

  private CompletionStage<StandInResponse> handle(StandInRequest request) {
    if (request.path().equals("/control")) {
      return CompletableFuture.completedFuture(control(request.json()));
    }
    return switch (outage) {
      case SILENT -> CompletableFuture.completedFuture(new StandInResponse.NoResponse());
      case UNAVAILABLE ->
          CompletableFuture.completedFuture(StandInResponse.text(503, "log unavailable"));
      case NONE -> delayed(serve(request));
    };
  }

  private StandInResponse control(JsonNode settings) {
    if (settings.has("outage")) {
      outage = Outage.valueOf(settings.get("outage").asText().toUpperCase(java.util.Locale.ROOT));
    }
    slowMs = settings.path("slowMs").asLong(slowMs);
    responsesToLose.set(settings.path("loseAnswers").asLong(responsesToLose.get()));
    if (settings.path("silenceExisting").asBoolean()) {
      server.connections().silenceExisting();
    }
    return StandInResponse.json(
        200, JsonNodeFactory.instance.objectNode().put("appends", appends.get()));
  }

  private CompletionStage<StandInResponse> serve(StandInRequest request) {
    String path = request.path();
    if (!path.startsWith(PREFIX) || !path.endsWith(SUFFIX)) {
      return CompletableFuture.completedFuture(StandInResponse.text(404, "no such path " + path));
    }
    String name = path.substring(PREFIX.length(), path.length() - SUFFIX.length());
    RetainedStream stream =
        streams.computeIfAbsent(name, key -> new RetainedStream(maxRecords, maxAgeMs));
    return request.method().equals("POST")
        ? CompletableFuture.completedFuture(append(stream, request.body()))
        : read(stream, request);
  }

  private StandInResponse append(RetainedStream stream, byte[] data) {
    long offset = stream.append(data, epochMs.getAsLong());
    appends.incrementAndGet();
    completeWaitingReads();
    if (responsesToLose.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0) {
      return new StandInResponse.Disconnect();
    }
    return StandInResponse.json(200, JsonNodeFactory.instance.objectNode().put("offset", offset));
  }

  private void completeWaitingReads() {
    for (Runnable reader = waitingReads.poll(); reader != null; reader = waitingReads.poll()) {
      reader.run();
    }
  }

  private CompletionStage<StandInResponse> read(RetainedStream stream, StandInRequest request) {
    long from = request.queryLong("from", 0);
    int max = (int) request.queryLong("max", DEFAULT_PAGE_RECORDS);
    long waitMs = Math.min(MAX_WAIT_MS, request.queryLong("waitMs", 0));
    CompletableFuture<StandInResponse> response = new CompletableFuture<>();
    Runnable completeRead = () -> response.complete(page(stream, from, max));
    // Registered before reading, so that an append in between is not missed.
    waitingReads.add(completeRead);
    LogPage page = stream.read(from, max, epochMs.getAsLong());
    if (waitMs <= 0 || !page.records().isEmpty() || from != page.tailOffset()) {
      waitingReads.remove(completeRead);
      completeRead.run();
      return response;
    }
    timer.schedule(
        waitMs,
        TimeUnit.MILLISECONDS,
        () -> {
          waitingReads.remove(completeRead);
          completeRead.run();
        });
    return response;
  }

  private StandInResponse page(RetainedStream stream, long from, int max) {
    LogPage page = stream.read(from, max, epochMs.getAsLong());
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("first", page.firstRetainedOffset()).put("tail", page.tailOffset());
    if (from < page.firstRetainedOffset()) {
      return StandInResponse.json(410, body);
    }
    ArrayNode records = body.putArray("records");
    for (LogRecord found : page.records()) {
      records
          .addObject()
          .put("offset", found.offset())
          .put("appendedAtEpochMs", found.appendedAtEpochMs())
          .put("data", Base64.getEncoder().encodeToString(found.data()));
    }
    return StandInResponse.json(200, body);
  }

  private CompletionStage<StandInResponse> delayed(CompletionStage<StandInResponse> response) {
    long delayMs = slowMs;
    if (delayMs <= 0) {
      return response;
    }
    CompletableFuture<StandInResponse> delay = new CompletableFuture<>();
    timer.schedule(delayMs, TimeUnit.MILLISECONDS, () -> delay.complete(null));
    return delay.thenCompose(ignored -> response).thenApply(Function.identity());
  }

  @Override
  public void close() {
    timer.close();
    server.close();
  }
}
