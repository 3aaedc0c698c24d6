package org.laburnumarch.internal.platform.standin;

import static io.servicetalk.buffer.api.ReadOnlyBufferAllocators.DEFAULT_RO_ALLOCATOR;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import java.net.InetSocketAddress;
import java.util.Map;
import org.laburnumarch.internal.platform.Json;
import org.laburnumarch.internal.platform.MalformedMessageException;

/** Bodies of the stand-ins' calls. */
final class Replies {

  private Replies() {}

  /** Writes an address as {@code ip:port}. */
  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ':' + address.getPort();
  }

  static Buffer buffer(byte[] bytes) {
    return DEFAULT_RO_ALLOCATOR.wrap(bytes);
  }

  static HttpResponse json(HttpResponse response, Map<String, ?> body) {
    return response
        .setHeader("Content-Type", "application/json")
        .payloadBody(buffer(Json.bytes(body)));
  }

  static JsonNode body(HttpRequest request) {
    byte[] content = new byte[request.payloadBody().readableBytes()];
    request.payloadBody().readBytes(content);
    try {
      return Json.parse(content);
    } catch (MalformedMessageException e) {
      throw new IllegalArgumentException(e);
    }
  }
}
