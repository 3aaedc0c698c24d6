package org.laburnumarch.internal.operator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.state.ControlState;

/** Returns the log position of each member. */
final class StatusResource {

  private final OperatorBackend backend;

  StatusResource(OperatorBackend backend) {
    this.backend = backend;
  }

  CompletionStage<OperatorResponse> status(AuthenticatedRequest request) {
    return backend
        .status()
        .thenApply(status -> JsonResponses.ok(describe(backend.state(), status)));
  }

  private static Map<String, Object> describe(ControlState state, FleetStatus status) {
    List<Map<String, Object>> members =
        status.members().stream().map(StatusResource::describe).toList();
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("answeringMemberId", status.respondingMemberId());
    fields.put("ready", status.isReady());
    fields.put("nextOffset", state.nextOffset());
    fields.put("version", state.textVersion());
    fields.put("members", members);
    return fields;
  }

  private static Map<String, Object> describe(FleetStatus.MemberView member) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("memberId", member.memberId());
    fields.put("instance", member.instance());
    fields.put("dataCentre", member.dataCentre());
    fields.put("nextOffset", member.nextOffset());
    fields.put("freshAgeMs", member.freshnessAgeMs());
    fields.put("counting", member.isCounting());
    fields.put("alive", member.isAlive());
    return fields;
  }
}
