package org.laburnumarch.internal.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** A response that the entry itself produces, as opposed to one of a minion. */
@SuppressWarnings("ArrayRecordComponent") // Never compared.
public record EntryResponse(int status, Map<String, String> headers, byte[] body) {

  /** Header with the number of the result code. */
  public static final String RESULT_HEADER = "Laburnumarch-Result";

  private static final ObjectMapper JSON = new ObjectMapper();

  public EntryResponse {
    headers = Map.copyOf(headers);
  }

  /** Returns a response with a text body. */
  public static EntryResponse text(int status, String contentType, String body) {
    return new EntryResponse(
        status, Map.of("Content-Type", contentType), body.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a response with a JSON body and the number of its result code. */
  public static EntryResponse json(ResultCode code, Object body) {
    Map<String, String> headers =
        Map.of("Content-Type", "application/json", RESULT_HEADER, "" + code.number());
    return new EntryResponse(code.httpStatus(), headers, encode(body));
  }

  /** Returns the response for a refusal: code, name, outcome, message, when to retry. */
  public static EntryResponse refused(Refusal refusal) {
    ResultCode code = refusal.code();
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("code", code.number());
    body.put("name", code.name());
    body.put("outcome", code.outcome().name());
    body.put("message", refusal.message());
    EntryResponse response = json(code, body);
    if (refusal.retryAfterMs() <= 0) {
      return response;
    }
    body.put("retryAfterMs", refusal.retryAfterMs());
    Map<String, String> headers = new LinkedHashMap<>(response.headers());
    headers.put("Retry-After", "" + ceilSeconds(refusal.retryAfterMs()));
    return new EntryResponse(code.httpStatus(), headers, encode(body));
  }

  private static long ceilSeconds(long ms) {
    return (ms + 999) / 1_000;
  }

  private static byte[] encode(Object body) {
    try {
      return JSON.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("the body of a response cannot be written as JSON", e);
    }
  }
}
