package org.laburnumarch.internal.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.http.api.HttpRequestMethod;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.http.PlatformHttpClient;
import org.laburnumarch.internal.http.PlatformHttpClient.Response;
import org.laburnumarch.internal.schedule.OrderReply;
import org.laburnumarch.internal.schedule.OrderReply.Outcome;
import org.laburnumarch.internal.schedule.WorkerReport;
import org.laburnumarch.spi.PlatformException;

/** Sends orders to one worker, renews its leases and reads its reports. */
public final class WorkerClient implements AutoCloseable {

  /**
   * A healthy worker responds within 5 ms. After this time the outcome of the order counts as
   * unknown, which is resolved by stopping the run.
   */
  public static final long ORDER_TIMEOUT_MS = 400;

  /** Time that a report may take in addition to the time that it waits at the worker. */
  public static final long REPORT_TIMEOUT_MS = 700;

  private final PlatformHttpClient orders;
  private final PlatformHttpClient reports;
  private final Map<String, String> headers;
  private final WorkerTraffic traffic;

  /**
   * Creates a client; no connection is opened before the first call.
   *
   * @param address address at which the worker accepts orders
   * @param workerId id under which the worker is listed; a worker with another id refuses the
   *     orders
   * @param loop event loop that runs sockets and callbacks
   * @param clock measures when connections are made, in milliseconds
   * @param traffic is told the size of each message
   */
  public WorkerClient(
      InetSocketAddress address,
      String workerId,
      EventLoopThread loop,
      LongSupplier clock,
      WorkerTraffic traffic) {
    this.traffic = traffic;
    this.orders = new PlatformHttpClient(address, loop, clock);
    this.reports = new PlatformHttpClient(address, loop, clock);
    this.headers = Map.of("X-Target-Instance", workerId, "Content-Type", "application/json");
  }

  /**
   * Orders the worker to start a run.
   *
   * @param taskName the task's name
   * @param run number of the run
   * @param program the program text of the job
   * @param leaseEndClockMs end of the lease in milliseconds, on the worker's clock
   * @param fencingToken the owner's term
   * @param checkpoint checkpoint to resume from; empty for none
   * @param ticket the advisory service's ticket; empty for none
   */
  public CompletionStage<OrderReply> start(
      String taskName,
      long run,
      String program,
      long leaseEndClockMs,
      long fencingToken,
      String checkpoint,
      String ticket) {
    ObjectNode body =
        Json.object()
            .put("task", taskName)
            .put("run", run)
            .put("spec", program)
            .put("deadlineMs", leaseEndClockMs)
            .put("fenceToken", fencingToken);
    if (!checkpoint.isEmpty()) {
      body.put("checkpoint", checkpoint);
    }
    if (!ticket.isEmpty()) {
      body.put("ticket", ticket);
    }
    return sendOrder("start", "/v1/run-start", body);
  }

  /** Orders the worker to stop a run and to refuse any later order to start it. */
  public CompletionStage<OrderReply> stop(String taskName, long run, long fencingToken) {
    return sendOrder(
        "stop",
        "/v1/run-stop",
        Json.object().put("task", taskName).put("run", run).put("fenceToken", fencingToken));
  }

  /** Limits a run to a percentage of its processor time. */
  public CompletionStage<OrderReply> pace(
      String taskName, long run, int percent, long fencingToken) {
    return sendOrder(
        "pace",
        "/v1/pace",
        Json.object()
            .put("task", taskName)
            .put("run", run)
            .put("percent", percent)
            .put("fenceToken", fencingToken));
  }

  private CompletionStage<OrderReply> sendOrder(String kind, String target, ObjectNode body) {
    AtomicLong connectedAtMs = new AtomicLong(Long.MAX_VALUE);
    return call(
            orders,
            kind,
            target,
            body,
            ORDER_TIMEOUT_MS,
            connectedAtMs::set,
            WorkerClient::toOrderReply)
        .exceptionally(WorkerClient::replyAfterFailure)
        .thenApply(reply -> reply.withConnectedAtMs(connectedAtMs.get()));
  }

  private <T> CompletionStage<T> call(
      PlatformHttpClient client,
      String kind,
      String target,
      ObjectNode body,
      long timeoutMs,
      LongConsumer onConnection,
      Function<Response, T> parse) {
    byte[] request = Json.encode(body);
    traffic.onRequest(kind, request.length);
    return client.call(
        HttpRequestMethod.POST,
        target,
        headers,
        request,
        timeoutMs,
        onConnection,
        response -> {
          traffic.onResponse(kind, response.bytes().length);
          return parse.apply(response);
        });
  }

  private static OrderReply replyAfterFailure(Throwable failure) {
    return new OrderReply(
        PlatformFailures.mayHaveTakenEffect(failure) ? Outcome.UNKNOWN : Outcome.UNREACHABLE, -1);
  }

  /**
   * Renews the lease of all runs on the worker, acknowledges ended runs and reads the worker's
   * lists of running and ended runs.
   *
   * @param leaseEndClockMs end of the lease in milliseconds, on the worker's clock; negative to
   *     leave the lease as it is
   * @param fencingToken the owner's term
   * @param acknowledgedEnd number of the last ended run that the worker need no longer list
   * @param waitMs how long the worker may delay its report until a run ends, in milliseconds
   * @param onConnection is told the time by which the connection was made, before the request is
   *     sent over it
   */
  public CompletionStage<WorkerReport> renew(
      long leaseEndClockMs,
      long fencingToken,
      long acknowledgedEnd,
      long waitMs,
      LongConsumer onConnection) {
    ObjectNode body =
        Json.object().put("fenceToken", fencingToken).put("ackCursor", acknowledgedEnd);
    if (leaseEndClockMs >= 0) {
      body.put("deadlineMs", leaseEndClockMs);
    }
    if (waitMs > 0) {
      body.put("waitMs", waitMs);
    }
    return call(
        reports,
        "report",
        "/v1/hold",
        body,
        waitMs + REPORT_TIMEOUT_MS,
        onConnection,
        WorkerClient::toWorkerReport);
  }

  private static OrderReply toOrderReply(Response response) {
    return WorkerMessages.decodeOrderReply(response.status(), response.bytes());
  }

  private static WorkerReport toWorkerReport(Response response) {
    if (response.status() != WorkerMessages.OK) {
      throw new WorkerRefusalException(toOrderReply(response).outcome());
    }
    try {
      return WorkerMessages.decodeReport(response.bytes());
    } catch (MalformedMessageException e) {
      throw PlatformException.withUnknownEffect("a worker's report cannot be parsed", e);
    }
  }

  /** Closes all connections; calls in flight fail. */
  @Override
  public void close() {
    orders.close();
    reports.close();
  }
}
