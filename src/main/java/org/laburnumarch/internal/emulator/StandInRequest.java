package org.laburnumarch.internal.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.servicetalk.http.api.HttpRequest;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A complete request to a stand-in.
 *
 * @param head method, path, query and headers
 * @param body the body
 * @param connection the caller's address, which identifies the connection
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared.
record StandInRequest(HttpRequest head, byte[] body, SocketAddress connection) {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Reads a request whose body has arrived. */
  static StandInRequest of(HttpRequest request, SocketAddress connection) {
    byte[] body = new byte[request.payloadBody().readableBytes()];
    request.payloadBody().getBytes(request.payloadBody().readerIndex(), body);
    return new StandInRequest(request, body, connection);
  }

  /** Returns the name of the method. */
  String method() {
    return head.method().name();
  }

  /** Returns the path without the query. */
  String path() {
    return head.path();
  }

  /** Returns a header if there is one. */
  Optional<String> header(String name) {
    return Optional.ofNullable(head.headers().get(name)).map(CharSequence::toString);
  }

  /** Returns an integer from the query; the fallback if it is missing. */
  long queryLong(String name, long fallback) {
    String value = head.queryParameter(name);
    return value == null ? fallback : Long.parseLong(value);
  }

  /** Returns the body as JSON; a missing node if it is empty or not JSON. */
  JsonNode json() {
    try {
      JsonNode node = JSON.readTree(new String(body, StandardCharsets.UTF_8));
      return node == null ? MissingNode.getInstance() : node;
    } catch (IOException e) {
      return MissingNode.getInstance();
    }
  }
}
