package org.laburnumarch.internal.daemon;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.entry.EntryResponse;
import org.laburnumarch.internal.entry.OperatorRequestHandler;
import org.laburnumarch.internal.operator.OperatorHandler;
import org.laburnumarch.internal.operator.OperatorRequest;
import org.laburnumarch.internal.operator.OperatorResponse;

/**
 * Handles operator requests on a separate thread.
 *
 * <p>Parsing a configuration text of 1 MiB would block an event loop for longer than callers may
 * wait.
 */
final class OperatorEndpoint implements OperatorRequestHandler, AutoCloseable {

  /** Maximum number of queued requests; each may hold a body of 2 MiB. */
  private static final int MAX_QUEUED = 16;

  private static final long RETRY_MS = 1_000;

  private final OperatorHandler handler;
  private final ThreadPoolExecutor executor =
      new ThreadPoolExecutor(
          1,
          1,
          0,
          TimeUnit.MILLISECONDS,
          new ArrayBlockingQueue<>(MAX_QUEUED),
          task -> {
            Thread thread = new Thread(task, "operator");
            thread.setDaemon(true);
            return thread;
          });

  OperatorEndpoint(OperatorHandler handler) {
    this.handler = handler;
  }

  @Override
  public CompletionStage<EntryResponse> handle(
      String method, String path, Map<String, String> headers, byte[] body) {
    OperatorRequest request = new OperatorRequest(method, path, bearerToken(headers), body);
    try {
      return CompletableFuture.supplyAsync(() -> handler.handle(request), executor)
          .thenCompose(response -> response)
          .thenApply(OperatorEndpoint::toEntryResponse);
    } catch (RejectedExecutionException e) {
      return CompletableFuture.completedFuture(EntryResponse.refused(queueFull()));
    }
  }

  private static Refusal queueFull() {
    return Refusal.retryable(
        ResultCode.QUEUE_FULL,
        MAX_QUEUED + " operator requests are already queued; repeat the command",
        RETRY_MS);
  }

  private static Optional<String> bearerToken(Map<String, String> headers) {
    return Optional.ofNullable(headers.get("authorization"))
        .filter(value -> value.startsWith("Bearer "))
        .map(value -> value.substring("Bearer ".length()).trim());
  }

  private static EntryResponse toEntryResponse(OperatorResponse response) {
    return new EntryResponse(
        response.status(),
        Map.of(
            "Content-Type",
            response.contentType(),
            EntryResponse.RESULT_HEADER,
            Integer.toString(response.resultCode().number())),
        response.bytes());
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
