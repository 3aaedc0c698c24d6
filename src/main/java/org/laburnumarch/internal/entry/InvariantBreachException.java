package org.laburnumarch.internal.entry;

import org.laburnumarch.ResultCode;

/** Thrown instead of taking a step that would break a numbered invariant. */
public final class InvariantBreachException extends RuntimeException {
  private final ResultCode code;

  /** Creates the exception; the number of the code is 19xx. */
  public InvariantBreachException(ResultCode code, String message) {
    super(code.number() + " " + code.name() + ": " + message);
    this.code = code;
  }

  /** Returns the code of the invariant. */
  public ResultCode code() {
    return code;
  }
}
