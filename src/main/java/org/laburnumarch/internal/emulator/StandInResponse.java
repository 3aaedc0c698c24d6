package org.laburnumarch.internal.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** How a stand-in responds to a request. */
sealed interface StandInResponse {

  /** A complete response. */
  @SuppressWarnings("ArrayRecordComponent") // Never compared.
  record Complete(int status, Map<String, String> headers, byte[] body) implements StandInResponse {

    public Complete {
      headers = Map.copyOf(headers);
    }
  }

  /** A response with the full content length that ends after half of the body. */
  @SuppressWarnings("ArrayRecordComponent") // Never compared.
  record Truncated(int status, byte[] body) implements StandInResponse {}

  /** No response; the connection stays open. */
  record NoResponse() implements StandInResponse {}

  /** No response; the connection is closed. */
  record Disconnect() implements StandInResponse {}

  /** Returns a complete JSON response. */
  static StandInResponse json(int status, JsonNode body) {
    return new Complete(
        status,
        Map.of("content-type", "application/json"),
        body.toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a complete plain-text response. */
  static StandInResponse text(int status, String body) {
    return new Complete(
        status, Map.of("content-type", "text/plain"), body.getBytes(StandardCharsets.UTF_8));
  }
}
