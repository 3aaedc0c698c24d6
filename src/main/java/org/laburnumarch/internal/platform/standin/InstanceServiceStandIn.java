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
import org.laburnumarch.internal.http.EventLoopHttpServers;
import org.laburnumarch.internal.http.EventLoopThread;

/**
 * Simulates the platform's instance service, which lists instances, moves them between pools and
 * takes them into maintenance.
 */
final class InstanceServiceStandIn implements AutoCloseable {

  private static final long MOVE_DURATION_MS = 1_500;
  private static final long MAINTENANCE_DURATION_MS = 2_000;

  /** Terminates and starts the workers of instances. */
  interface WorkerLifecycle {

    /** Terminates the instance's worker if it has one. */
    void terminate(String instanceName);

    /** Starts a worker in a pool; returns its id, empty if instances of the pool run no worker. */
    String start(String instanceName, String pool);
  }

  private static final class Instance {
    private String pool;
    private String state = "up";
    private String workerId;
    private final WorkerProfile profile;
    private boolean isWorkerLeaving;
    private long highestToken;

    Instance(String pool, WorkerProfile profile, String workerId) {
      this.profile = profile;
      this.pool = pool;
      this.workerId = workerId;
    }
  }

  private final EventLoopThread loop;
  private final WorkerLifecycle lifecycle;
  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private final HttpServerContext server;

  InstanceServiceStandIn(InetSocketAddress address, EventLoopThread loop, WorkerLifecycle lifecycle)
      throws Exception {
    this.loop = loop;
    this.lifecycle = lifecycle;
    this.server = EventLoopHttpServers.listen(address, loop, this::handle);
  }

  void addInstance(String instanceName, String pool, WorkerProfile profile) {
    instances.put(instanceName, new Instance(pool, profile, lifecycle.start(instanceName, pool)));
  }

  /** Returns the id of the worker that an instance runs now; empty if it runs none. */
  String workerOf(String instanceName) {
    return instances.get(instanceName).workerId;
  }

  /**
   * Records that an instance's worker leaves, so that the instance is neither moved nor maintained;
   * returns false if it has none.
   */
  boolean onWorkerLeaving(String instanceName) {
    Instance instance = instances.get(instanceName);
    if (instance.isWorkerLeaving || instance.workerId.isEmpty()) {
      return false;
    }
    instance.isWorkerLeaving = true;
    return true;
  }

  boolean isWorkerLeaving(String instanceName) {
    return instances.get(instanceName).isWorkerLeaving;
  }

  /** Terminates the worker of an instance whose worker leaves. */
  void removeWorker(String instanceName) {
    lifecycle.terminate(instanceName);
    instances.get(instanceName).workerId = "";
    instances.get(instanceName).state = "down";
  }

  /** Starts another worker on an instance whose worker has left. */
  void replaceWorker(String instanceName) {
    Instance instance = instances.get(instanceName);
    instance.workerId = lifecycle.start(instanceName, instance.pool);
    instance.state = "up";
    instance.isWorkerLeaving = false;
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
                    instance.profile.dataCentre(),
                    "labels",
                    List.of("a", instance.profile.rack()),
                    "id",
                    instance.workerId)));
    return HttpBodies.withJson(responses.ok(), Map.of("machines", rows, "nextToken", ""));
  }

  private HttpResponse move(HttpRequest request, HttpResponseFactory responses) {
    JsonNode body = HttpBodies.parseJson(request);
    String pool = body.path("pool").asText();
    Instance instance = instances.get(body.path("machine").asText());
    if (instance == null) {
      return HttpBodies.withJson(responses.badRequest(), Map.of());
    }
    if (instance.pool.equals(pool)) {
      return HttpBodies.withJson(responses.ok(), Map.of());
    }
    return toResponse(
        startOperation(
            request, body.path("machine").asText(), instance, "moving", MOVE_DURATION_MS, pool),
        responses);
  }

  private HttpResponse maintain(HttpRequest request, HttpResponseFactory responses) {
    String instanceName = HttpBodies.parseJson(request).path("machine").asText();
    Instance instance = instances.get(instanceName);
    if (instance == null) {
      return HttpBodies.withJson(responses.badRequest(), Map.of());
    }
    return toResponse(
        startOperation(
            request, instanceName, instance, "upkeep", MAINTENANCE_DURATION_MS, instance.pool),
        responses);
  }

  private static HttpResponse toResponse(Optional<String> refusal, HttpResponseFactory responses) {
    return refusal
        .map(reason -> HttpBodies.withJson(responses.conflict(), Map.of("reason", reason)))
        .orElseGet(() -> HttpBodies.withJson(responses.ok(), Map.of()));
  }

  /**
   * Starts a move or maintenance, during which the instance has no worker; returns the reason if
   * the request is refused.
   */
  private Optional<String> startOperation(
      HttpRequest request,
      String instanceName,
      Instance instance,
      String state,
      long durationMs,
      String pool) {
    long token = Long.parseLong(request.headers().get("X-Fencing-Token").toString());
    if (token <= instance.highestToken) {
      return Optional.of("fence");
    }
    instance.highestToken = token;
    if (!instance.state.equals("up") || instance.isWorkerLeaving) {
      return Optional.of("busy");
    }
    lifecycle.terminate(instanceName);
    instance.workerId = "";
    instance.state = state;
    loop.schedule(
        durationMs,
        () -> {
          instance.pool = pool;
          instance.state = "up";
          instance.workerId = lifecycle.start(instanceName, pool);
        });
    return Optional.empty();
  }

  /** Stops the server. */
  @Override
  public void close() {
    server.closeAsync().subscribe();
  }
}
