package org.laburnumarch.internal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.tinylog.Logger;

/** Authenticates requests of operators and dispatches them to resources below {@value #PREFIX}. */
public final class OperatorHandler {

  /** Path prefix of the operators' resources. */
  public static final String PREFIX = "/-/operator/";

  /** Maximum size of a body in bytes: twice that of a configuration text, for its JSON escapes. */
  public static final int MAX_BODY_BYTES = 1 << 21;

  private final OperatorTokens tokens;
  private final OperatorRoutes routes;

  /** Creates a handler with the system's wall clock and secure random generator. */
  public OperatorHandler(OperatorBackend backend, OperatorTokens tokens) {
    this(backend, tokens, new KeySecrets(new SecureRandom()), System::currentTimeMillis);
  }

  /**
   * Creates a handler.
   *
   * @param epochMs wall clock in epoch milliseconds, for the audit trail and maintenance due dates
   */
  public OperatorHandler(
      OperatorBackend backend, OperatorTokens tokens, KeySecrets secrets, LongSupplier epochMs) {
    this.tokens = tokens;
    this.routes = routesOf(backend, new ChangeSubmitter(backend, epochMs), secrets, epochMs);
  }

  private static OperatorRoutes routesOf(
      OperatorBackend backend,
      ChangeSubmitter submitter,
      KeySecrets secrets,
      LongSupplier epochMs) {
    ConfigResource config = new ConfigResource(backend, submitter);
    KeyResource keys = new KeyResource(backend, submitter, secrets);
    DataCentreResource dataCentres = new DataCentreResource(backend, submitter);
    MaintenanceResource maintenance = new MaintenanceResource(backend, submitter, epochMs);
    AuditResource audit = new AuditResource(backend);
    return new OperatorRoutes()
        .add("GET", "config", config::show)
        .add("GET", "config/history", audit::listAcceptedChanges)
        .add("POST", "config/check", config::check)
        .add("POST", "config", config::apply)
        .add("GET", "keys", keys::list)
        .add("POST", "keys", keys::grant)
        .add("POST", "keys/*/revoke", keys::revoke)
        .add("GET", "data-centres", dataCentres::list)
        .add("POST", "data-centres/*/out", dataCentres::takeOutOfService)
        .add("POST", "data-centres/*/in", dataCentres::returnToService)
        .add("GET", "maintenance", maintenance::status)
        .add("POST", "maintenance/start", maintenance::start)
        .add("POST", "maintenance/pause", maintenance::pause)
        .add("GET", "audit", audit::listEntries)
        .add("GET", "status", new StatusResource(backend)::status);
  }

  /** Returns the response to a request; the stage never completes with an exception. */
  public CompletionStage<OperatorResponse> handle(OperatorRequest request) {
    Optional<String> operator = request.bearerToken().flatMap(tokens::operatorOf);
    if (operator.isEmpty()) {
      Logger.warn(
          "operator: Refused a {} request with a missing or unknown token.", request.method());
      return refuse(
          ResultCode.OPERATOR_REFUSED,
          "the token is missing or belongs to no operator; send Authorization: Bearer TOKEN with a"
              + " token whose digest is in the daemon's settings");
    }
    try {
      return dispatch(operator.get(), request).exceptionally(OperatorHandler::internalError);
    } catch (RuntimeException e) {
      return CompletableFuture.completedFuture(internalError(e));
    }
  }

  private CompletionStage<OperatorResponse> dispatch(String operator, OperatorRequest request) {
    String[] pathAndQuery = request.path().split("\\?", 2);
    Optional<OperatorRoutes.Match> match =
        pathAndQuery[0].startsWith(PREFIX)
            ? routes.find(request.method(), pathAndQuery[0].substring(PREFIX.length()))
            : Optional.empty();
    if (match.isEmpty()) {
      return refuse(
          ResultCode.USAGE,
          "there is no resource for this method and path; docs/operators.md lists the resources");
    }
    Map<String, String> query = parseQuery(pathAndQuery.length > 1 ? pathAndQuery[1] : "");
    return parseBody(request.body())
        .fold(
            refusal -> CompletableFuture.completedFuture(JsonResponses.refused(refusal)),
            body ->
                match
                    .get()
                    .resource()
                    .apply(
                        new AuthenticatedRequest(
                            operator, match.get().pathParameter(), query, body)));
  }

  private static Either<Refusal, JsonNode> parseBody(byte[] body) {
    if (body.length > MAX_BODY_BYTES) {
      return Either.left(
          Refusal.of(
              ResultCode.BODY_TOO_LARGE,
              "the body is larger than " + MAX_BODY_BYTES + " bytes; shorten it"));
    }
    if (body.length == 0) {
      return Either.right(JsonNodeFactory.instance.objectNode());
    }
    try {
      return Either.right(JsonResponses.JSON.readTree(body));
    } catch (IOException e) {
      return AuthenticatedRequest.usageError("the body is not JSON; send one JSON object");
    }
  }

  private static Map<String, String> parseQuery(String query) {
    Map<String, String> values = new HashMap<>();
    for (String pair : query.split("&", -1)) {
      String[] nameAndValue = pair.split("=", 2);
      values.put(decode(nameAndValue[0]), nameAndValue.length > 1 ? decode(nameAndValue[1]) : "");
    }
    return values;
  }

  private static String decode(String text) {
    try {
      return URLDecoder.decode(text, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      return text;
    }
  }

  private static CompletionStage<OperatorResponse> refuse(ResultCode code, String message) {
    return CompletableFuture.completedFuture(JsonResponses.refused(Refusal.of(code, message)));
  }

  private static OperatorResponse internalError(Throwable failure) {
    Logger.error(
        failure,
        "operator: A request failed with an unexpected exception; the response is INTERNAL_ERROR.");
    return JsonResponses.refused(
        Refusal.of(
            ResultCode.INTERNAL_ERROR,
            "the request failed inside the daemon; its log has the reason, and the audit trail shows"
                + " whether the change took place"));
  }
}
