package org.laburnumarch.internal.platform.standin;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.laburnumarch.internal.http.EventLoopHttpServers;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.StoreClient.KeyedValue;
import org.laburnumarch.internal.platform.StoreClient.StoreRecord;
import org.laburnumarch.internal.platform.StoreClient.WriterPosition;
import org.laburnumarch.internal.platform.standin.StoreModel.AppendResult;

/**
 * Simulates the platform's store on a loopback address and injects faults. Methods must be called
 * on the event loop's thread.
 */
public final class StoreStandIn implements AutoCloseable {

  /** A fault that the store shows. */
  public enum Fault {
    /** No fault. */
    NONE,
    /** Executes appends after a delay and then responds. */
    SLOW,
    /** Rejects every call without executing it. */
    REFUSING,
    /** Executes a third of the appends without a response. */
    LOSING_ANSWERS,
    /** Executes a third of the appends up to seconds later, without a response. */
    APPLYING_LATE
  }

  private static final double FAULTY_APPEND_FRACTION = 0.33;
  private static final long SLOW_RESPONSE_MS = 200;
  private static final long MAX_APPLY_DELAY_MS = 4_000;
  private static final int MAX_PAGE_RECORDS = 500;
  private static final int MAX_READ_BYTES = 1 << 20;
  private static final Set<String> LOGS_READ_ONLY_FOR_DAEMONS =
      Set.of(StoreClient.OPERATOR_LOG, StoreClient.WORKER_REGISTRY_LOG);

  private record PendingRead(String log, long fromOffset, CompletableFuture<Boolean> result) {}

  private final EventLoopThread loop;
  private final StoreModel model = new StoreModel();
  private final Random random;
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private final HttpServerContext server;
  private Fault fault = Fault.NONE;

  /** Logs whose calls are rejected, with the number of faults that reject them. */
  private final Map<String, Integer> refusedLogs = new HashMap<>();

  private final Set<String> silentLogs = new HashSet<>();

  /**
   * Starts the stand-in. Must not be called on the event loop's thread, unlike all other methods.
   *
   * @throws Exception if the address cannot be bound
   */
  public StoreStandIn(InetSocketAddress address, EventLoopThread loop, long seed) throws Exception {
    this.loop = loop;
    this.random = new Random(seed);
    this.server = EventLoopHttpServers.listen(address, loop, this::handle);
  }

  /** Returns the model that holds the logs. */
  public StoreModel model() {
    return model;
  }

  /** Replaces the current fault. */
  public void setFault(Fault newFault) {
    this.fault = newFault;
  }

  /** Rejects the calls of daemons that concern a log and serves all others. */
  public void refuseLog(String log) {
    refusedLogs.merge(log, 1, Integer::sum);
  }

  /** Leaves the calls of daemons that concern a log without a response and without effect. */
  public void silenceLog(String log) {
    silentLogs.add(log);
  }

  /** Ends what {@link #silenceLog} or {@link #refuseLog} began; each call ends one refusal. */
  public void serveLog(String log) {
    silentLogs.remove(log);
    refusedLogs.computeIfPresent(log, (key, faults) -> faults > 1 ? faults - 1 : null);
  }

  /**
   * Writes a record on behalf of operators or workers; returns false if the store rejects calls.
   */
  public boolean write(String log, String key, Optional<byte[]> value) {
    if (fault == Fault.REFUSING) {
      return false;
    }
    model.append(log, List.of(new KeyedValue(key, value)), OptionalLong.empty(), Optional.empty());
    wakeReaders(log);
    return true;
  }

  /** Drops the history of all logs that daemons follow; pending reads stay pending. */
  public void dropHistory() {
    for (String log :
        List.of(
            StoreClient.OPERATOR_LOG, StoreClient.WORKER_REGISTRY_LOG, StoreClient.OWNERSHIP_LOG)) {
      model.dropHistory(log);
    }
  }

  private boolean isRefused(HttpRequest request) {
    return refusedLogs.containsKey(String.valueOf(request.queryParameter("topic")));
  }

  private Single<HttpResponse> handle(
      HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
    if (fault == Fault.REFUSING || isRefused(request)) {
      return Single.succeeded(responses.serviceUnavailable());
    }
    if (silentLogs.contains(String.valueOf(request.queryParameter("topic")))) {
      return Single.never();
    }
    CompletionStage<HttpResponse> response =
        switch (request.path()) {
          case "/v1/log-append" -> append(request, responses);
          case "/v1/log-read" -> read(request, responses);
          case "/v1/log-newest" -> CompletableFuture.completedStage(newest(request, responses));
          default -> CompletableFuture.completedStage(responses.notFound());
        };
    return Single.fromStage(response);
  }

  private CompletionStage<HttpResponse> append(HttpRequest request, HttpResponseFactory responses) {
    String log = request.queryParameter("topic");
    if (LOGS_READ_ONLY_FOR_DAEMONS.contains(log)) {
      return CompletableFuture.completedStage(responses.forbidden());
    }
    byte[] body = new byte[request.payloadBody().readableBytes()];
    request.payloadBody().readBytes(body);
    OptionalLong expectedEnd = number(request, "at");
    Optional<WriterPosition> writer =
        request.queryParameter("producer") == null
            ? Optional.empty()
            : Optional.of(
                new WriterPosition(
                    number(request, "epoch").orElse(0), number(request, "seq").orElse(0)));
    Supplier<HttpResponse> apply =
        () -> {
          AppendResult appendResult = model.append(log, values(body), expectedEnd, writer);
          wakeReaders(log);
          return toResponse(appendResult, responses);
        };
    boolean isFaulty = random.nextDouble() < FAULTY_APPEND_FRACTION;
    CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    if (fault == Fault.LOSING_ANSWERS && isFaulty) {
      HttpResponse unused = apply.get();
    } else if (fault == Fault.APPLYING_LATE && isFaulty) {
      loop.schedule(
          1 + random.nextLong(MAX_APPLY_DELAY_MS),
          () -> {
            HttpResponse unused = apply.get();
          });
    } else if (fault == Fault.SLOW) {
      loop.schedule(SLOW_RESPONSE_MS, () -> result.complete(apply.get()));
    } else {
      result.complete(apply.get());
    }
    return result;
  }

  private static HttpResponse toResponse(AppendResult appendResult, HttpResponseFactory responses) {
    return switch (appendResult.outcome()) {
      case STORED ->
          HttpBodies.withJson(responses.ok(), Map.of("endOffset", appendResult.endOffset()));
      case CONDITION_FAILED ->
          HttpBodies.withJson(
              responses.newResponse(HttpResponseStatus.PRECONDITION_FAILED),
              Map.of("endOffset", appendResult.endOffset()));
      case FENCED -> HttpBodies.withJson(responses.conflict(), Map.of("reason", "fenced"));
      case OUT_OF_SEQUENCE -> HttpBodies.withJson(responses.conflict(), Map.of("reason", "seq"));
    };
  }

  private static OptionalLong number(HttpRequest request, String parameter) {
    String value = request.queryParameter(parameter);
    return value == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(value));
  }

  private static List<KeyedValue> values(byte[] body) {
    List<KeyedValue> values = new ArrayList<>();
    ByteBuffer in = ByteBuffer.wrap(body);
    while (in.hasRemaining()) {
      byte[] content = new byte[in.getInt()];
      in.get(content);
      int keyLength = content[0] & 0xff;
      String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
      byte[] value = new byte[content.length - 1 - keyLength];
      System.arraycopy(content, 1 + keyLength, value, 0, value.length);
      values.add(new KeyedValue(key, value.length == 0 ? Optional.empty() : Optional.of(value)));
    }
    return values;
  }

  private CompletionStage<HttpResponse> read(HttpRequest request, HttpResponseFactory responses) {
    String log = request.queryParameter("topic");
    long from = number(request, "from").orElse(0);
    if (from < model.firstOffset(log)) {
      return CompletableFuture.completedStage(
          HttpBodies.withJson(
              responses.newResponse(HttpResponseStatus.GONE),
              Map.of("firstOffset", model.firstOffset(log))));
    }
    CompletableFuture<Boolean> ready = new CompletableFuture<>();
    if (model.endOffset(log) > from) {
      ready.complete(true);
    } else {
      pendingReads.add(new PendingRead(log, from, ready));
      loop.schedule(number(request, "waitMs").orElse(0), () -> ready.complete(false));
    }
    return ready.thenApply(
        ignored -> responses.ok().payloadBody(HttpBodies.toBuffer(encodeRecords(log, from))));
  }

  private byte[] encodeRecords(String log, long from) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(
        ByteBuffer.allocate(2 * Long.BYTES)
            .putLong(model.endOffset(log))
            .putLong(model.firstOffset(log))
            .array());
    for (StoreRecord stored : model.read(log, from)) {
      byte[] key = stored.key().getBytes(StandardCharsets.UTF_8);
      byte[] value = stored.value().orElse(new byte[0]);
      out.writeBytes(
          ByteBuffer.allocate(Integer.BYTES).putInt(1 + key.length + value.length).array());
      out.write(key.length);
      out.writeBytes(key);
      out.writeBytes(value);
      if (out.size() > MAX_READ_BYTES) {
        break;
      }
    }
    return out.toByteArray();
  }

  private void wakeReaders(String log) {
    List<PendingRead> due =
        pendingReads.stream().filter(read -> read.result().isDone() || isDue(read, log)).toList();
    pendingReads.removeAll(due);
    due.forEach(read -> read.result().complete(true));
  }

  private boolean isDue(PendingRead read, String log) {
    return read.log().equals(log) && model.endOffset(log) > read.fromOffset();
  }

  private HttpResponse newest(HttpRequest request, HttpResponseFactory responses) {
    String log = request.queryParameter("topic");
    if (!model.exists(log)) {
      return responses.notFound();
    }
    String after = Optional.ofNullable(request.queryParameter("after")).orElse("");
    List<StoreRecord> page = model.newest(log, after, MAX_PAGE_RECORDS + 1);
    boolean hasMore = page.size() > MAX_PAGE_RECORDS;
    List<Map<String, Object>> items = new ArrayList<>();
    for (StoreRecord stored : page.subList(0, Math.min(MAX_PAGE_RECORDS, page.size()))) {
      items.add(
          Map.of(
              "key", stored.key(),
              "value", Base64.getEncoder().encodeToString(stored.value().orElse(new byte[0])),
              "offset", stored.offset()));
    }
    return HttpBodies.withJson(
        responses.ok(),
        Map.of("items", items, "hasMore", hasMore, "endOffset", model.endOffset(log)));
  }

  /** Stops the server. */
  @Override
  public void close() {
    server.closeAsync().subscribe();
  }
}
