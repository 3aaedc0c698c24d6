package org.laburnumarch.internal.entry;

import org.laburnumarch.ResultCode;

/** A minion's response or a caller's body cannot be accepted; carries the result for the caller. */
final class MessageRejectedException extends RuntimeException {
  private final ResultCode code;

  MessageRejectedException(ResultCode code, String message, Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  ResultCode code() {
    return code;
  }
}
