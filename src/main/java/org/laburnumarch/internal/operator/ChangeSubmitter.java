package org.laburnumarch.internal.operator;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import org.laburnumarch.Outcome;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.state.AuditEntry;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.Envelope;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordResult;
import org.tinylog.Logger;

/** Submits operators' changes to the log and builds the responses from their results. */
final class ChangeSubmitter {

  private final OperatorBackend backend;
  private final LongSupplier epochMs;

  ChangeSubmitter(OperatorBackend backend, LongSupplier epochMs) {
    this.backend = backend;
    this.epochMs = epochMs;
  }

  /**
   * Submits a change and responds with its result. A change whose operation id already has a result
   * is not submitted again; the response then has the earlier result.
   */
  CompletionStage<OperatorResponse> submit(AuthenticatedRequest request, OperatorChange change) {
    Either<Refusal, String> operationId = request.operationId();
    if (operationId.isLeft()) {
      return CompletableFuture.completedFuture(JsonResponses.refused(operationId.getLeft()));
    }
    String id = operationId.get();
    ControlState state = backend.state();
    Option<RecordResult> earlier = state.operations().get(id);
    if (earlier.isDefined()) {
      return CompletableFuture.completedFuture(
          responseToRepetition(request, change, state, earlier.get()));
    }
    return change
        .newRecord()
        .apply(id)
        .fold(
            refusal -> CompletableFuture.completedFuture(JsonResponses.refused(refusal)),
            record -> append(request, change, id, record));
  }

  private CompletionStage<OperatorResponse> append(
      AuthenticatedRequest request, OperatorChange change, String operationId, RecordBody body) {
    Envelope envelope = new Envelope(operationId, request.operator(), epochMs.getAsLong(), body);
    Logger.info(
        "operator: {} submits {} as operation {}.",
        request.operator(),
        change.recordType().getSimpleName(),
        operationId);
    return submitToBackend(envelope)
        .handle(
            (result, failure) ->
                failure == null
                    ? responseTo(request, change, result)
                    : unknownOutcome(operationId, failure));
  }

  private CompletionStage<RecordResult> submitToBackend(Envelope envelope) {
    try {
      return backend.submit(envelope);
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static OperatorResponse unknownOutcome(String operationId, Throwable failure) {
    Logger.error(
        failure,
        "operator: The outcome of operation {} is unknown; the audit trail shows whether the change"
            + " took place.",
        operationId);
    return JsonResponses.refused(
        Refusal.of(
            ResultCode.APPEND_OUTCOME_UNKNOWN,
            "the change may or may not be in force; " + repeatHint(operationId)),
        Map.of("operationId", operationId));
  }

  private static String repeatHint(String operationId) {
    return "repeat the same command with the operation id " + operationId;
  }

  private OperatorResponse responseTo(
      AuthenticatedRequest request, OperatorChange change, RecordResult result) {
    if (result.code() != ResultCode.DUPLICATE_OPERATION) {
      return response(request, change, result);
    }
    ControlState state = backend.state();
    RecordResult first = state.operations().getOrElse(result.operationId(), result);
    return responseToRepetition(request, change, state, first);
  }

  /**
   * Returns a response with the earlier result of an operation, or a refusal if the operation id
   * was used for another command.
   */
  private static OperatorResponse responseToRepetition(
      AuthenticatedRequest request,
      OperatorChange change,
      ControlState state,
      RecordResult result) {
    boolean isOtherCommand =
        auditEntryOf(state, result.operationId())
            .exists(entry -> !isSameCommand(entry, request, change));
    boolean isNotInEffect = result.isAccepted() && !change.isInEffect().test(state, result);
    if (isOtherCommand || isNotInEffect) {
      return JsonResponses.refused(
          Refusal.of(
              ResultCode.OPERATION_ID_REUSED,
              "the operation id was already used for another change; omit it to get a new one"));
    }
    return response(request, change, result);
  }

  private static boolean isSameCommand(
      AuditEntry entry, AuthenticatedRequest request, OperatorChange change) {
    return entry.author().equals(request.operator())
        && AuditKinds.isRecordType(entry, change.recordType());
  }

  private static Option<AuditEntry> auditEntryOf(ControlState state, String operationId) {
    return state.audit().find(entry -> entry.operationId().equals(operationId));
  }

  private static OperatorResponse response(
      AuthenticatedRequest request, OperatorChange change, RecordResult result) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("operationId", result.operationId());
    fields.put("author", request.operator());
    if (result.code().outcome() == Outcome.UNKNOWN) {
      String message = result.refusal().map(Refusal::message).orElse("");
      String hint = repeatHint(result.operationId());
      String messageWithHint =
          message.contains(result.operationId()) ? message : message + "; " + hint;
      return JsonResponses.refused(Refusal.of(result.code(), messageWithHint), fields);
    }
    fields.put("offset", result.offset());
    fields.put("version", result.textVersion());
    if (result.refusal().isPresent()) {
      return JsonResponses.refused(result.refusal().get(), fields);
    }
    fields.putAll(change.responseFields().apply(result));
    return JsonResponses.ok(fields);
  }
}
