package org.laburnumarch.internal.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Creates JSON responses; each has the number, name and message of its result code. */
final class JsonResponses {

  static final ObjectMapper JSON =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

  private static final String CONTENT_TYPE = "application/json";

  private JsonResponses() {}

  /** Returns a response with additional fields after those of its result. */
  static OperatorResponse of(ResultCode code, String message, Map<String, ?> fields) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("result", code.number());
    body.put("name", code.name());
    body.put("message", message);
    body.putAll(fields);
    try {
      byte[] bytes = JSON.writeValueAsBytes(body);
      return new OperatorResponse(code.httpStatus(), code, CONTENT_TYPE, bytes);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a response of plain values could not be written as JSON", e);
    }
  }

  static OperatorResponse ok(Map<String, ?> fields) {
    return of(ResultCode.OK, "", fields);
  }

  static OperatorResponse refused(Refusal refusal) {
    return refused(refusal, Map.of());
  }

  static OperatorResponse refused(Refusal refusal, Map<String, ?> fields) {
    Map<String, Object> all = new LinkedHashMap<>(fields);
    if (refusal.retryAfterMs() > 0) {
      all.put("retryAfterMs", refusal.retryAfterMs());
    }
    return of(refusal.code(), refusal.message(), all);
  }

  /** Returns the additional fields of a response, without those of its result. */
  static Map<String, Object> fieldsOf(OperatorResponse response) {
    try {
      Map<String, Object> fields = JSON.readValue(response.bytes(), new TypeReference<>() {});
      fields.keySet().removeAll(List.of("result", "name", "message"));
      return fields;
    } catch (IOException e) {
      throw new IllegalStateException("a response written by this class could not be parsed", e);
    }
  }
}
