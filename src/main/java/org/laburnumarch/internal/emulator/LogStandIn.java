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
 * Stand-in of the platform's log: offsets, retention by count and age, long poll, and faults that
 * {@code POST /control} switches.
 *
 * <p>Fields of a control request, all optional: {@code outage} ({@code none}, {@code unavailable}
 * for 503, {@code silent}), {@code slowMs} (added to each answer), {@code loseAnswers} (that many
 * appends take effect and then lose their answer), {@code silenceExisting} (open connections never
 * answer again).
 */
public final class LogStandIn implements AutoCloseable {

  private static final int MAX_CONNECTIONS = 1_024;
  private static final String PREFIX = "/v1/streams/";
  private static final String SUFFIX = "/records";
  private static final int DEFAULT_PAGE = 500;
  private static final long MAX_WAIT_MS = 30_000;

  /** How the stand-in treats calls. */
  private enum Outage {
    NONE,
    UNAVAILABLE,
    SILENT
  }

  private final int maxRecords;
  private final long maxAgeMs;
  private final LongSupplier epochMs;
  private final Map<String, RetainedStream> streams = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<Runnable> waiting = new ConcurrentLinkedQueue<>();
  private final AtomicLong answersToLose = new AtomicLong();
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
   * @param maxRecords the most records retained per stream
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

  /** Returns how many appends took effect. */
  public long appendCount() {
    return appends.get();
  }

  private CompletionStage<StandInAnswer> handle(StandInRequest request) {
    if (request.path().equals("/control")) {
      return CompletableFuture.completedFuture(control(request.json()));
    }
    return switch (outage) {
      case SILENT -> CompletableFuture.completedFuture(new StandInAnswer.Silence());
      case UNAVAILABLE ->
          CompletableFuture.completedFuture(StandInAnswer.text(503, "log unavailable"));
      case NONE -> delayed(serve(request));
    };
  }

  private StandInAnswer control(JsonNode order) {
    if (order.has("outage")) {
      outage = Outage.valueOf(order.get("outage").asText().toUpperCase(java.util.Locale.ROOT));
    }
    slowMs = order.path("slowMs").asLong(slowMs);
    answersToLose.set(order.path("loseAnswers").asLong(answersToLose.get()));
    if (order.path("silenceExisting").asBoolean()) {
      server.connections().silenceExisting();
    }
    return StandInAnswer.json(
        200, JsonNodeFactory.instance.objectNode().put("appends", appends.get()));
  }

  private CompletionStage<StandInAnswer> serve(StandInRequest request) {
    String path = request.path();
    if (!path.startsWith(PREFIX) || !path.endsWith(SUFFIX)) {
      return CompletableFuture.completedFuture(StandInAnswer.text(404, "no such path " + path));
    }
    String name = path.substring(PREFIX.length(), path.length() - SUFFIX.length());
    RetainedStream stream =
        streams.computeIfAbsent(name, key -> new RetainedStream(maxRecords, maxAgeMs));
    return request.method().equals("POST")
        ? CompletableFuture.completedFuture(append(stream, request.body()))
        : read(stream, request);
  }

  private StandInAnswer append(RetainedStream stream, byte[] data) {
    long offset = stream.append(data, epochMs.getAsLong());
    appends.incrementAndGet();
    wakeReaders();
    if (answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
      return new StandInAnswer.Close();
    }
    return StandInAnswer.json(200, JsonNodeFactory.instance.objectNode().put("offset", offset));
  }

  private void wakeReaders() {
    for (Runnable reader = waiting.poll(); reader != null; reader = waiting.poll()) {
      reader.run();
    }
  }

  private CompletionStage<StandInAnswer> read(RetainedStream stream, StandInRequest request) {
    long from = request.queryLong("from", 0);
    int max = (int) request.queryLong("max", DEFAULT_PAGE);
    long waitMs = Math.min(MAX_WAIT_MS, request.queryLong("waitMs", 0));
    CompletableFuture<StandInAnswer> answer = new CompletableFuture<>();
    Runnable answerNow = () -> answer.complete(page(stream, from, max));
    // Registered before looking, so that an append in between is not missed.
    waiting.add(answerNow);
    LogPage page = stream.read(from, max, epochMs.getAsLong());
    if (waitMs <= 0 || !page.records().isEmpty() || from != page.tailOffset()) {
      waiting.remove(answerNow);
      answerNow.run();
      return answer;
    }
    timer.after(
        waitMs,
        TimeUnit.MILLISECONDS,
        () -> {
          waiting.remove(answerNow);
          answerNow.run();
        });
    return answer;
  }

  private StandInAnswer page(RetainedStream stream, long from, int max) {
    LogPage page = stream.read(from, max, epochMs.getAsLong());
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("first", page.firstRetainedOffset()).put("tail", page.tailOffset());
    if (from < page.firstRetainedOffset()) {
      return StandInAnswer.json(410, body);
    }
    ArrayNode records = body.putArray("records");
    for (LogRecord found : page.records()) {
      records
          .addObject()
          .put("offset", found.offset())
          .put("appendedAtEpochMs", found.appendedAtEpochMs())
          .put("data", Base64.getEncoder().encodeToString(found.data()));
    }
    return StandInAnswer.json(200, body);
  }

  private CompletionStage<StandInAnswer> delayed(CompletionStage<StandInAnswer> answer) {
    long delayMs = slowMs;
    if (delayMs <= 0) {
      return answer;
    }
    CompletableFuture<StandInAnswer> late = new CompletableFuture<>();
    timer.after(delayMs, TimeUnit.MILLISECONDS, () -> late.complete(null));
    return late.thenCompose(ignored -> answer).thenApply(Function.identity());
  }

  @Override
  public void close() {
    timer.close();
    server.close();
  }
}
