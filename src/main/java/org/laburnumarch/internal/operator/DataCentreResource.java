package org.laburnumarch.internal.operator;

import io.vavr.collection.SortedSet;
import io.vavr.collection.TreeSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.DataCentreEntry;
import org.laburnumarch.internal.state.RecordBody;

/** Takes data centres out of service and returns them. */
final class DataCentreResource {

  private final OperatorBackend backend;
  private final ChangeSubmitter submitter;

  DataCentreResource(OperatorBackend backend, ChangeSubmitter submitter) {
    this.backend = backend;
    this.submitter = submitter;
  }

  /** Lists the data centres that the configuration or the control state contains. */
  CompletionStage<OperatorResponse> list(AuthenticatedRequest request) {
    ControlState state = backend.state();
    SortedSet<String> configured =
        state
            .text()
            .<SortedSet<String>>map(text -> text.dataCentres().keySet())
            .orElse(TreeSet.empty());
    List<Map<String, Object>> rows =
        configured
            .addAll(state.dataCentres().keySet())
            .toList()
            .map(name -> describe(state, name))
            .toJavaList();
    return CompletableFuture.completedFuture(JsonResponses.ok(Map.of("dataCentres", rows)));
  }

  private static Map<String, Object> describe(ControlState state, String name) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("dataCentre", name);
    fields.put("out", state.dataCentres().get(name).exists(DataCentreEntry::isOut));
    fields.put(
        "changedAtOffset",
        state.dataCentres().get(name).map(DataCentreEntry::changedAtOffset).getOrElse(-1L));
    fields.put("instances", state.instances().values().count(i -> i.dataCentre().equals(name)));
    return fields;
  }

  /** Takes a data centre out of service. */
  CompletionStage<OperatorResponse> takeOutOfService(AuthenticatedRequest request) {
    return submit(request, new RecordBody.DataCentreTakenOut(request.pathParameter()));
  }

  /** Returns a data centre to service. */
  CompletionStage<OperatorResponse> returnToService(AuthenticatedRequest request) {
    return submit(request, new RecordBody.DataCentreReturned(request.pathParameter()));
  }

  private CompletionStage<OperatorResponse> submit(AuthenticatedRequest request, RecordBody body) {
    return submitter.submit(
        request,
        OperatorChange.of(
            body,
            (state, result) -> isChangedSince(state, request.pathParameter(), result.offset())));
  }

  private static boolean isChangedSince(ControlState state, String name, long offset) {
    return state.dataCentres().get(name).exists(entry -> entry.changedAtOffset() >= offset);
  }
}
