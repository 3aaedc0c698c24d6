package org.laburnumarch.internal.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** What a stand-in does with a request. */
sealed interface StandInAnswer {

  /** A complete answer. */
  @SuppressWarnings("ArrayRecordComponent") // Never compared.
  record Whole(int status, Map<String, String> headers, byte[] body) implements StandInAnswer {

    public Whole {
      headers = Map.copyOf(headers);
    }
  }

  /** An answer that states the length of its body and ends after half of it. */
  @SuppressWarnings("ArrayRecordComponent") // Never compared.
  record Truncated(int status, byte[] body) implements StandInAnswer {}

  /** No answer; the connection stays open. */
  record Silence() implements StandInAnswer {}

  /** No answer; the connection is closed. */
  record Close() implements StandInAnswer {}

  /** Returns a complete JSON answer. */
  static StandInAnswer json(int status, JsonNode body) {
    return new Whole(
        status,
        Map.of("content-type", "application/json"),
        body.toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a complete answer with an explanation. */
  static StandInAnswer text(int status, String body) {
    return new Whole(
        status, Map.of("content-type", "text/plain"), body.getBytes(StandardCharsets.UTF_8));
  }
}
