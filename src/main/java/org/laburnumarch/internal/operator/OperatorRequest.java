package org.laburnumarch.internal.operator;

import java.util.Arrays;
import java.util.Optional;

/**
 * A request of an operator.
 *
 * @param path path with query, as in the request line, for instance {@code
 *     /-/operator/audit?author=anna}
 * @param bearerToken token of the {@code Authorization} header, without "Bearer "
 * @param body body in JSON; empty if there is none
 */
@SuppressWarnings("ArrayRecordComponent") // Copied by the constructor and never compared.
public record OperatorRequest(
    String method, String path, Optional<String> bearerToken, byte[] body) {

  public OperatorRequest {
    body = Arrays.copyOf(body, body.length);
  }

  /** Returns method and path only, since the token must not reach a log. */
  @Override
  public String toString() {
    return method + " " + path;
  }
}
