package org.laburnumarch.internal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.regex.Pattern;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * A parsed request of an authenticated operator.
 *
 * @param operator name of the operator, recorded in the audit trail
 * @param pathParameter the name that the path contains; empty if the resource has none
 */
record AuthenticatedRequest(
    String operator, String pathParameter, Map<String, String> query, JsonNode body) {

  private static final Pattern UUID_FORM =
      Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}");

  /** Returns the operation id in the body, or a new one if the body has none. */
  Either<Refusal, String> operationId() {
    String id = body.path("operationId").asText("");
    if (id.isEmpty()) {
      return Either.right(UUID.randomUUID().toString());
    }
    if (!UUID_FORM.matcher(id).matches()) {
      return usageError("operationId is not a UUID in lower case; omit it to get a new one");
    }
    return Either.right(id);
  }

  /** Returns a string field of the body. */
  Either<Refusal, String> text(String field) {
    JsonNode value = body.path(field);
    return value.isTextual()
        ? Either.right(value.textValue())
        : usageError("the body has no string field \"" + field + "\"; add it");
  }

  /** Returns an integer field of the body. */
  Either<Refusal, Long> number(String field) {
    JsonNode value = body.path(field);
    return value.isIntegralNumber() && value.canConvertToLong()
        ? Either.right(value.longValue())
        : usageError("the body has no integer field \"" + field + "\"; add it");
  }

  /** Returns a query parameter; empty if it is missing or has no value. */
  Optional<String> queryValue(String name) {
    return Optional.ofNullable(query.get(name)).filter(value -> !value.isEmpty());
  }

  static <T> Either<Refusal, T> usageError(String message) {
    return Either.left(Refusal.of(ResultCode.USAGE, message));
  }
}
