package org.laburnumarch.internal.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.http.HttpLoop;
import org.laburnumarch.internal.http.LoopServers;

/** The platform's service for instances: lists them, moves them and takes them into maintenance. */
final class InstancesStandIn implements AutoCloseable {

  private static final long MOVE_MS = 1_500;
  private static final long MAINTENANCE_MS = 2_000;

  /** Ends and begins lives of workers. */
  interface Lives {

    /** Ends the life of the instance's worker, if it has one. */
    void end(String machine);

    /** Begins a life in a pool; returns the new worker's id, empty if the pool is switched off. */
    String begin(String machine, String pool);
  }

  private static final class Instance {
    private String pool;
    private String state = "up";
    private String workerId;
    private long highestToken;

    Instance(String pool, String workerId) {
      this.pool = pool;
      this.workerId = workerId;
    }
  }

  private final HttpLoop loop;
  private final Lives lives;
  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private final HttpServerContext server;

  InstancesStandIn(InetSocketAddress address, HttpLoop loop, Lives lives) throws Exception {
    this.loop = loop;
    this.lives = lives;
    this.server = LoopServers.listen(address, loop, this::handle);
  }

  void add(String machine, String pool) {
    instances.put(machine, new Instance(pool, lives.begin(machine, pool)));
  }

  /** Returns the id of the worker that an instance has now; empty if it has none. */
  String workerOf(String machine) {
    return instances.get(machine).workerId;
  }

  private Single<HttpResponse> handle(
      HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
    return Single.succeeded(
        switch (request.path()) {
          case "/v1/machines" -> list(responses);
          case "/v1/machine-move" -> move(request, responses);
          case "/v1/machine-upkeep" -> maintain(request, responses);
          default -> responses.notFound();
        });
  }

  private HttpResponse list(HttpResponseFactory responses) {
    List<Map<String, Object>> rows = new ArrayList<>();
    instances.forEach(
        (name, instance) ->
            rows.add(
                Map.of(
                    "machine",
                    name,
                    "pool",
                    instance.pool,
                    "state",
                    instance.state,
                    "zone",
                    "north",
                    "labels",
                    List.of("a", "r1"),
                    "id",
                    instance.workerId)));
    return Replies.json(responses.ok(), Map.of("machines", rows, "nextToken", ""));
  }

  private HttpResponse move(HttpRequest request, HttpResponseFactory responses) {
    JsonNode body = Replies.body(request);
    String pool = body.path("pool").asText();
    Instance instance = instances.get(body.path("machine").asText());
    if (instance == null) {
      return Replies.json(responses.badRequest(), Map.of());
    }
    if (instance.pool.equals(pool)) {
      return Replies.json(responses.ok(), Map.of());
    }
    return answer(
        take(request, body.path("machine").asText(), instance, "moving", MOVE_MS, pool), responses);
  }

  private HttpResponse maintain(HttpRequest request, HttpResponseFactory responses) {
    String machine = Replies.body(request).path("machine").asText();
    Instance instance = instances.get(machine);
    if (instance == null) {
      return Replies.json(responses.badRequest(), Map.of());
    }
    return answer(
        take(request, machine, instance, "upkeep", MAINTENANCE_MS, instance.pool), responses);
  }

  private static HttpResponse answer(Optional<String> refusal, HttpResponseFactory responses) {
    return refusal
        .map(reason -> Replies.json(responses.conflict(), Map.of("reason", reason)))
        .orElseGet(() -> Replies.json(responses.ok(), Map.of()));
  }

  /** Takes an instance away for a time; returns why not, if it is refused. */
  private Optional<String> take(
      HttpRequest request,
      String machine,
      Instance instance,
      String state,
      long awayMs,
      String pool) {
    long token = Long.parseLong(request.headers().get("X-Fencing-Token").toString());
    if (token <= instance.highestToken) {
      return Optional.of("fence");
    }
    instance.highestToken = token;
    if (!instance.state.equals("up")) {
      return Optional.of("busy");
    }
    lives.end(machine);
    instance.workerId = "";
    instance.state = state;
    loop.after(
        awayMs,
        () -> {
          instance.pool = pool;
          instance.state = "up";
          instance.workerId = lives.begin(machine, pool);
        });
    return Optional.empty();
  }

  /** Stops answering. */
  @Override
  public void close() {
    server.closeAsync().subscribe();
  }
}
