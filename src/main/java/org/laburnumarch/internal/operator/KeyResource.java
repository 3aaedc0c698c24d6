package org.laburnumarch.internal.operator;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.KeyEntry;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordResult;

/** Grants, revokes and lists keys. */
final class KeyResource {

  private final OperatorBackend backend;
  private final ChangeSubmitter submitter;
  private final KeySecrets secrets;

  KeyResource(OperatorBackend backend, ChangeSubmitter submitter, KeySecrets secrets) {
    this.backend = backend;
    this.submitter = submitter;
    this.secrets = secrets;
  }

  /** Lists keys without their secrets and digests. */
  CompletionStage<OperatorResponse> list(AuthenticatedRequest request) {
    List<Map<String, Object>> keys =
        backend
            .state()
            .keys()
            .values()
            .filter(key -> request.queryValue("team").map(key.team()::equals).orElse(true))
            .map(KeyResource::describe)
            .toJavaList();
    return CompletableFuture.completedFuture(JsonResponses.ok(Map.of("keys", keys)));
  }

  private static Map<String, Object> describe(KeyEntry key) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("keyId", key.keyId());
    fields.put("team", key.team());
    fields.put("revoked", key.isRevoked());
    fields.put("grantedAtOffset", key.grantedAtOffset());
    return fields;
  }

  /** Grants a key. Only this response contains the secret; the log stores its digest. */
  CompletionStage<OperatorResponse> grant(AuthenticatedRequest request) {
    Either<Refusal, String> team = request.text("team");
    if (team.isLeft()) {
      return CompletableFuture.completedFuture(JsonResponses.refused(team.getLeft()));
    }
    String secret = secrets.newSecret();
    String digest = KeySecrets.digestOf(secret);
    OperatorChange change =
        OperatorChange.of(
                RecordBody.KeyGranted.class,
                id ->
                    Either.right(
                        new RecordBody.KeyGranted(KeySecrets.keyIdOf(id), team.get(), digest)),
                (state, result) -> isGrantedTo(state, result, team.get()))
            .withResponseFields(
                result -> grantFields(KeySecrets.keyIdOf(result.operationId()), secret, digest));
    return submitter.submit(request, change).thenApply(KeyResource::refuseWithoutToken);
  }

  private static boolean isGrantedTo(ControlState state, RecordResult result, String team) {
    String keyId = KeySecrets.keyIdOf(result.operationId());
    return state.keys().get(keyId).exists(key -> key.team().equals(team));
  }

  private Map<String, ?> grantFields(String keyId, String secret, String digest) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("keyId", keyId);
    // A repeated request generates another secret, which does not match the stored digest.
    boolean isSecretStored =
        backend.state().keys().get(keyId).exists(key -> key.secretDigest().equals(digest));
    if (isSecretStored) {
      fields.put("token", KeySecrets.bearerTokenOf(keyId, secret));
    }
    return fields;
  }

  private static OperatorResponse refuseWithoutToken(OperatorResponse response) {
    if (response.resultCode() != ResultCode.OK || response.bodyText().contains("\"token\":")) {
      return response;
    }
    return JsonResponses.of(
        ResultCode.KEY_SECRET_NOT_SHOWN,
        "an earlier request granted the key, and only the response to it contained the secret;"
            + " revoke this key and grant another one",
        JsonResponses.fieldsOf(response));
  }

  /** Revokes a key permanently. */
  CompletionStage<OperatorResponse> revoke(AuthenticatedRequest request) {
    return submitter.submit(
        request,
        OperatorChange.of(
            new RecordBody.KeyRevoked(request.pathParameter()),
            (state, result) ->
                state.keys().get(request.pathParameter()).exists(KeyEntry::isRevoked)));
  }
}
