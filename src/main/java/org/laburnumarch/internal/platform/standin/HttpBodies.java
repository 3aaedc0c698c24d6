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

/** Reads and writes the HTTP bodies of the stand-ins. */
final class HttpBodies {

  private HttpBodies() {}

  /** Formats an address as {@code ip:port}. */
  static String formatAddress(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ':' + address.getPort();
  }

  static Buffer toBuffer(byte[] bytes) {
    return DEFAULT_RO_ALLOCATOR.wrap(bytes);
  }

  static HttpResponse withJson(HttpResponse response, Map<String, ?> content) {
    return response
        .setHeader("Content-Type", "application/json")
        .payloadBody(toBuffer(Json.encode(content)));
  }

  static JsonNode parseJson(HttpRequest request) {
    byte[] content = new byte[request.payloadBody().readableBytes()];
    request.payloadBody().readBytes(content);
    return parseJson(content);
  }

  static JsonNode parseJson(byte[] content) {
    try {
      return Json.parse(content);
    } catch (MalformedMessageException e) {
      throw new IllegalArgumentException(e);
    }
  }
}
