package org.laburnumarch.internal.operator;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.Envelope;
import org.laburnumarch.internal.state.RecordResult;

class OperatorHandlerTest {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String ID = "00000000-0000-4000-8000-000000000001";
  private static final String EXAMPLE = read("examples/hinokuni.ini");

  private final FakeOperatorBackend backend = new FakeOperatorBackend(EXAMPLE);
  private final OperatorTokens tokens =
      new OperatorTokens(
          Map.of("anna", KeySecrets.digestOf("a-token"), "biju", KeySecrets.digestOf("b-token")));
  private final OperatorHandler handler = new OperatorHandler(backend, tokens);

  private static String read(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private OperatorResponse send(String method, String path, String token, String body) {
    return send(handler, method, path, token, body);
  }

  private static OperatorResponse send(
      OperatorHandler handler, String method, String path, String token, String body) {
    OperatorRequest request =
        new OperatorRequest(
            method,
            "/-/operator/" + path,
            Optional.ofNullable(token),
            body.getBytes(StandardCharsets.UTF_8));
    return handler.handle(request).toCompletableFuture().join();
  }

  private static JsonNode json(OperatorResponse response) {
    try {
      return JSON.readTree(response.bytes());
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private OperatorResponse applyConfig(String text, long base, String operationId) {
    ObjectNode body = JSON.createObjectNode().put("text", text).put("baseVersion", base);
    body.put("operationId", operationId);
    return send("POST", "config", "a-token", body.toString());
  }

  @Nested
  class WhenTheTokenIsMissingOrUnknown {

    @ParameterizedTest
    @ValueSource(strings = {"status", "config", "keys", "nothing", ""})
    void shouldRefuseTheRequest(String path) {
      // Guards against a resource that can be reached without checking the token.
      assertThat(send("GET", path, null, "").resultCode()).isEqualTo(ResultCode.OPERATOR_REFUSED);
      assertThat(send("GET", path, "a-token ", "").status()).isEqualTo(403);
    }
  }

  @Nested
  class WhenTheTextIsChanged {

    @Test
    void shouldApplyOnceForOneOperationId() {
      // Guards against refusing a repeated command as stale although its first attempt took effect.
      String text = EXAMPLE.replace("interval-days = 21", "interval-days = 20");
      backend.loseNextResponse();

      OperatorResponse lost = applyConfig(text, 1, ID);
      OperatorResponse repeated = applyConfig(text, 1, ID);

      assertThat(lost.resultCode()).isEqualTo(ResultCode.APPEND_OUTCOME_UNKNOWN);
      assertThat(json(lost).path("message").asText()).contains(ID);
      assertThat(repeated.resultCode()).isEqualTo(ResultCode.OK);
      assertThat(json(repeated).path("version").asLong()).isEqualTo(2);
      assertThat(backend.submissions()).isEqualTo(1);
    }

    @Test
    void shouldRefuseAnotherBaseVersion() {
      // Guards against two operators silently overwriting each other's changes.
      String text = EXAMPLE.replace("interval-days = 21", "interval-days = 20");

      assertThat(applyConfig(text, 0, "").resultCode()).isEqualTo(ResultCode.STALE_BASE_VERSION);
      assertThat(applyConfig(text, 2, "").resultCode()).isEqualTo(ResultCode.NOT_READY);
      assertThat(applyConfig(EXAMPLE, 1, "").resultCode()).isEqualTo(ResultCode.NO_CHANGE);
      assertThat(backend.submissions()).isZero();
    }

    @Test
    void shouldListAllFaultsAndSubmitNothing() {
      OperatorResponse response =
          applyConfig(EXAMPLE.replace("needed = 6", "needed = none"), 1, "");

      assertThat(response.status()).isEqualTo(400);
      assertThat(json(response).path("faults")).hasSize(2);
      assertThat(backend.submissions()).isZero();
    }

    @Test
    void shouldPauseMaintenanceByChangingTheText() {
      assertThat(send("POST", "maintenance/start", "a-token", "").resultCode())
          .isEqualTo(ResultCode.NO_CHANGE);
      assertThat(send("POST", "maintenance/pause", "a-token", "").resultCode())
          .isEqualTo(ResultCode.OK);
      assertThat(json(send("GET", "maintenance", "a-token", "")).path("enabled").asBoolean())
          .isFalse();
      assertThat(json(send("GET", "config/history", "a-token", "")).path("entries")).hasSize(1);
    }

    @Test
    void shouldReportWhatATextWouldChange() {
      String text = EXAMPLE.replaceAll("(?s)\\[rack kyushu-south-r4].*?\\n\\n", "");
      String body = JSON.createObjectNode().put("text", text).toString();

      JsonNode response = json(send("POST", "config/check", "a-token", body));

      assertThat(response.path("removed").toString()).isEqualTo("[\"rack kyushu-south-r4\"]");
      assertThat(response.path("replaced")).isEmpty();
    }
  }

  @Nested
  class WhenAKeyIsGranted {

    private static final String GRANT = "{\"team\":\"auditors\",\"operationId\":\"" + ID + "\"}";

    @Test
    void shouldShowATokenThatMatchesTheStoredDigest() {
      JsonNode response = json(send("POST", "keys", "a-token", GRANT));

      String[] token = response.path("token").asText().split("_", 3);
      assertThat(token[0]).isEqualTo("lab");
      assertThat(token[1]).isEqualTo(response.path("keyId").asText());
      assertThat(token[2]).hasSize(64);
      assertThat(backend.state().keys().get(token[1]).get().secretDigest())
          .isEqualTo(KeySecrets.digestOf(token[2]));
    }

    @Test
    void shouldNotShowASecretOnRepetition() {
      // Guards against showing a token that does not match the stored digest after a repeated
      // command.
      backend.loseNextResponse();
      send("POST", "keys", "a-token", GRANT);

      OperatorResponse repeated = send("POST", "keys", "a-token", GRANT);

      assertThat(repeated.resultCode()).isEqualTo(ResultCode.KEY_SECRET_NOT_SHOWN);
      assertThat(json(repeated).has("token")).isFalse();
      assertThat(json(repeated).path("keyId").asText()).isEqualTo(KeySecrets.keyIdOf(ID));
    }

    @Test
    void shouldNotShowASecretIfAnotherDaemonGrantedTheKey() {
      // Guards against the same failure if the repetition reaches a daemon that has not yet applied
      // the first grant.
      send("POST", "keys", "a-token", GRANT);
      OperatorHandler staleHandler = new OperatorHandler(new StaleUntilSubmission(backend), tokens);

      OperatorResponse second = send(staleHandler, "POST", "keys", "a-token", GRANT);

      assertThat(second.resultCode()).isEqualTo(ResultCode.KEY_SECRET_NOT_SHOWN);
    }

    @Test
    void shouldListKeysWithoutDigests() {
      send("POST", "keys", "a-token", GRANT);

      String list = send("GET", "keys?team=auditors", "a-token", "").bodyText();

      String digest = backend.state().keys().values().head().secretDigest();
      assertThat(list).contains("auditors").doesNotContain(digest);
      assertThat(json(send("GET", "keys?team=x", "a-token", "")).path("keys")).isEmpty();
    }
  }

  @Nested
  class WhenAnOperationIdIsReused {

    @ParameterizedTest
    @CsvSource({
      "data-centres/kyushu-south/out, b-token",
      "data-centres/kyushu-south/in, a-token",
      "data-centres/kyushu-north/out, a-token",
      "maintenance/pause, a-token",
    })
    void shouldRefuseTheOperationIdOfAnotherCommand(String path, String token) {
      // Guards against reporting success for a command that was never executed.
      String body = "{\"operationId\":\"" + ID + "\"}";
      send("POST", "data-centres/kyushu-south/out", "a-token", body);

      assertThat(send("POST", path, token, body).resultCode())
          .isEqualTo(ResultCode.OPERATION_ID_REUSED);
    }
  }

  @Nested
  class WhenTheRequestIsInvalid {

    @ParameterizedTest
    @CsvSource(
        delimiter = ';',
        value = {
          "POST;keys;{",
          "POST;keys;[]",
          "POST;keys;{\"team\":\"auditors\",\"operationId\":\"x\"}",
          "DELETE;keys;''",
          "GET;keys/x;''",
          "POST;data-centres//out;''",
          "GET;audit?since=yesterday;''",
          "GET;audit?limit=0;''",
          "POST;config;{\"text\":\"\"}",
        })
    void shouldReportAUsageError(String method, String path, String body) {
      OperatorResponse response = send(method, path, "a-token", body);

      assertThat(response.resultCode()).isEqualTo(ResultCode.USAGE);
      assertThat(json(response).path("message").asText()).isNotBlank();
    }

    @Test
    void shouldRefuseALargeBody() {
      String body = " ".repeat(OperatorHandler.MAX_BODY_BYTES + 1);

      assertThat(send("POST", "keys", "a-token", body).resultCode())
          .isEqualTo(ResultCode.BODY_TOO_LARGE);
    }
  }

  @Nested
  class WhenTheAuditTrailIsRead {

    @Test
    void shouldFilterByAuthorAndTime() {
      send("POST", "data-centres/kyushu-south/out", "a-token", "");
      send("POST", "data-centres/kyushu-south/in", "b-token", "");

      assertThat(json(send("GET", "audit?author=biju", "a-token", "")).path("entries")).hasSize(1);
      assertThat(json(send("GET", "audit?limit=1", "a-token", "")).at("/entries/0/author").asText())
          .isEqualTo("biju");
      assertThat(
              json(send("GET", "audit?since=2100-01-01T00:00:00Z", "a-token", "")).path("entries"))
          .isEmpty();
    }
  }

  /** Returns the state before the first record until something is submitted. */
  private static final class StaleUntilSubmission implements OperatorBackend {

    private final FakeOperatorBackend backend;
    private ControlState state = ControlState.empty();

    StaleUntilSubmission(FakeOperatorBackend backend) {
      this.backend = backend;
    }

    @Override
    public ControlState state() {
      return state;
    }

    @Override
    public CompletionStage<RecordResult> submit(Envelope envelope) {
      state = backend.state();
      return backend.submit(envelope);
    }

    @Override
    public CompletionStage<FleetStatus> status() {
      return backend.status();
    }
  }
}
