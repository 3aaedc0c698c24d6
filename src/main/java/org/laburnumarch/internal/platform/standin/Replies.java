package org.laburnumarch.internal.platform.standin;

import static io.servicetalk.buffer.api.ReadOnlyBufferAllocators.DEFAULT_RO_ALLOCATOR;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;

/** Bodies of the stand-ins' calls. */
final class Replies {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Replies() {}

  static byte[] bytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  static Buffer buffer(byte[] bytes) {
    return DEFAULT_RO_ALLOCATOR.wrap(bytes);
  }

  static HttpResponse json(HttpResponse response, Map<String, ?> body) {
    return response.setHeader("Content-Type", "application/json").payloadBody(buffer(bytes(body)));
  }

  static JsonNode body(HttpRequest request) {
    byte[] content = new byte[request.payloadBody().readableBytes()];
    request.payloadBody().readBytes(content);
    return parse(content);
  }

  static JsonNode parse(byte[] content) {
    try {
      return MAPPER.readTree(content);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
