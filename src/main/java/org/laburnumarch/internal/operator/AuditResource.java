package org.laburnumarch.internal.operator;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.state.AuditEntry;
import org.laburnumarch.internal.state.RecordBody;

/** Lists the audit trail, or only its accepted changes of the fleet configuration. */
final class AuditResource {

  private static final int DEFAULT_LIMIT = 100;
  private static final int MAX_LIMIT = 1_000;

  private final OperatorBackend backend;

  AuditResource(OperatorBackend backend) {
    this.backend = backend;
  }

  /** Lists the newest entries that match the query, oldest first. */
  CompletionStage<OperatorResponse> listEntries(AuthenticatedRequest request) {
    return listMatching(request, entry -> true);
  }

  /** Lists the accepted changes of the fleet configuration. */
  CompletionStage<OperatorResponse> listAcceptedChanges(AuthenticatedRequest request) {
    return listMatching(
        request,
        entry ->
            AuditKinds.isRecordType(entry, RecordBody.ConfigChanged.class) && isAccepted(entry));
  }

  private static boolean isAccepted(AuditEntry entry) {
    return entry.result() == ResultCode.OK;
  }

  private CompletionStage<OperatorResponse> listMatching(
      AuthenticatedRequest request, Predicate<AuditEntry> isIncluded) {
    Either<Refusal, Long> since = sinceEpochMs(request);
    Either<Refusal, Integer> limit = limit(request);
    if (since.isLeft() || limit.isLeft()) {
      Refusal refusal = since.isLeft() ? since.getLeft() : limit.getLeft();
      return CompletableFuture.completedFuture(JsonResponses.refused(refusal));
    }
    Seq<AuditEntry> entries =
        backend
            .state()
            .audit()
            .filter(isIncluded)
            .filter(entry -> request.queryValue("author").map(entry.author()::equals).orElse(true))
            .filter(entry -> entry.appendedAtEpochMs() >= since.get())
            .takeRight(limit.get());
    return CompletableFuture.completedFuture(
        JsonResponses.ok(Map.of("entries", entries.map(AuditResource::describe).toJavaList())));
  }

  private static Either<Refusal, Long> sinceEpochMs(AuthenticatedRequest request) {
    String since = request.queryValue("since").orElse("1970-01-01T00:00:00Z");
    try {
      return Either.right(Instant.parse(since).toEpochMilli());
    } catch (DateTimeException | ArithmeticException e) {
      return AuthenticatedRequest.usageError(
          "since is not a timestamp; write it as 2026-12-04T03:00:00Z");
    }
  }

  private static Either<Refusal, Integer> limit(AuthenticatedRequest request) {
    String limit = request.queryValue("limit").orElse(Integer.toString(DEFAULT_LIMIT));
    boolean isNumber = limit.matches("\\d{1,4}");
    int number = isNumber ? Integer.parseInt(limit) : 0;
    return number >= 1 && number <= MAX_LIMIT
        ? Either.right(number)
        : AuthenticatedRequest.usageError(
            "limit is not a number from 1 to " + MAX_LIMIT + "; change it");
  }

  private static Map<String, Object> describe(AuditEntry entry) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("offset", entry.offset());
    fields.put("appendedAt", Instant.ofEpochMilli(entry.appendedAtEpochMs()).toString());
    fields.put("author", entry.author());
    fields.put("kind", entry.kind());
    fields.put("subject", entry.subject());
    fields.put("baseVersion", entry.baseVersion());
    fields.put("result", entry.result().number());
    fields.put("name", entry.result().name());
    fields.put("operationId", entry.operationId());
    return fields;
  }
}
