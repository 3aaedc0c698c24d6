package org.laburnumarch.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.function.Function;
import org.laburnumarch.internal.http.PlatformHttpClient.Response;
import org.laburnumarch.spi.PlatformException;

/** Parses the platform's JSON responses and turns faulty ones into {@link PlatformException}. */
final class PlatformResponses {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int SERVICE_UNAVAILABLE = 503;

  private PlatformResponses() {}

  /** Returns whether the status is 2xx, which means that the call was carried out. */
  static boolean isSuccess(Response response) {
    return response.status() >= 200 && response.status() < 300;
  }

  /** Returns a required field that holds an integer. */
  static long requiredLong(JsonNode node, String field) {
    JsonNode value = node.get(field);
    if (value == null || !value.canConvertToLong() || !value.isIntegralNumber()) {
      throw new IllegalArgumentException("field " + field + " is missing or not an integer");
    }
    return value.longValue();
  }

  /** Returns a required field that holds a string. */
  static String requiredText(JsonNode node, String field) {
    JsonNode value = node.get(field);
    if (value == null || !value.isTextual()) {
      throw new IllegalArgumentException("field " + field + " is missing or not a string");
    }
    return value.textValue();
  }

  /**
   * Parses the response to a call that changes state. Status 503 or 4xx means that the call had no
   * effect; after any other failure its effect is unknown.
   */
  static <T> T parseEffect(String call, Response response, Function<JsonNode, T> parse) {
    if (!isSuccess(response)) {
      String message = call + " failed with status " + response.status() + ": " + response.body();
      boolean refused = response.status() == SERVICE_UNAVAILABLE || response.status() / 100 == 4;
      throw refused
          ? PlatformException.withoutEffect(message, null)
          : PlatformException.withUnknownEffect(message, null);
    }
    try {
      return parse.apply(JSON.readTree(response.body()));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      throw PlatformException.withUnknownEffect(call + ": the response cannot be parsed", e);
    }
  }

  /** Parses the response to a call that only reads. */
  static <T> T parseRead(String call, Response response, Function<JsonNode, T> parse) {
    if (!isSuccess(response)) {
      throw PlatformException.withoutEffect(
          call + " failed with status " + response.status() + ": " + response.body(), null);
    }
    return parseBody(call, response, parse);
  }

  /** Parses the body of a response to a call that only reads, whatever its status. */
  static <T> T parseBody(String call, Response response, Function<JsonNode, T> parse) {
    try {
      return parse.apply(JSON.readTree(response.body()));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      throw PlatformException.withoutEffect(call + ": the response cannot be parsed", e);
    }
  }
}
