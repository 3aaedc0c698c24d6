package org.laburnumarch.internal.operator;

import java.nio.charset.StandardCharsets;
import org.laburnumarch.ResultCode;

/**
 * Response to an operator.
 *
 * @param status HTTP status
 * @param resultCode result, sent in the header {@code Laburnumarch-Result}
 * @param bytes complete body
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared.
public record OperatorResponse(
    int status, ResultCode resultCode, String contentType, byte[] bytes) {

  /** Returns the body as text. */
  public String bodyText() {
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
