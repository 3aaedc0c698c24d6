package org.laburnumarch.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.function.Function;
import org.laburnumarch.internal.http.PlatformHttpClient.Response;
import org.laburnumarch.spi.PlatformException;

/** Reads the platform's JSON answers and turns faulty ones into {@link PlatformException}. */
final class PlatformAnswers {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int SERVICE_UNAVAILABLE = 503;

  private PlatformAnswers() {}

  /** Returns whether the status says that the call was carried out. */
  static boolean isSuccess(Response answer) {
    return answer.status() >= 200 && answer.status() < 300;
  }

  /** Returns a field that has to be a whole number. */
  static long requiredLong(JsonNode node, String field) {
    JsonNode value = node.get(field);
    if (value == null || !value.canConvertToLong() || !value.isIntegralNumber()) {
      throw new IllegalArgumentException("field " + field + " is missing or no whole number");
    }
    return value.longValue();
  }

  /** Returns a field that has to be text. */
  static String requiredText(JsonNode node, String field) {
    JsonNode value = node.get(field);
    if (value == null || !value.isTextual()) {
      throw new IllegalArgumentException("field " + field + " is missing or no text");
    }
    return value.textValue();
  }

  /**
   * Parses the answer to a call that changes something. A 503 or a 4xx says that nothing was done;
   * any other failure leaves that open.
   */
  static <T> T parseEffect(String call, Response answer, Function<JsonNode, T> parse) {
    if (!isSuccess(answer)) {
      String message = call + " answered " + answer.status() + ": " + answer.body();
      boolean refused = answer.status() == SERVICE_UNAVAILABLE || answer.status() / 100 == 4;
      throw refused
          ? PlatformException.withoutEffect(message, null)
          : PlatformException.withUnknownEffect(message, null);
    }
    try {
      return parse.apply(JSON.readTree(answer.body()));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      throw PlatformException.withUnknownEffect(call + " answered what cannot be read", e);
    }
  }

  /** Parses the answer to a call that only reads. */
  static <T> T parseRead(String call, Response answer, Function<JsonNode, T> parse) {
    if (!isSuccess(answer)) {
      throw PlatformException.withoutEffect(
          call + " answered " + answer.status() + ": " + answer.body(), null);
    }
    return parseBody(call, answer, parse);
  }

  /** Parses the body of an answer to a call that only reads, whatever its status. */
  static <T> T parseBody(String call, Response answer, Function<JsonNode, T> parse) {
    try {
      return parse.apply(JSON.readTree(answer.body()));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      throw PlatformException.withoutEffect(call + " answered what cannot be read", e);
    }
  }
}
