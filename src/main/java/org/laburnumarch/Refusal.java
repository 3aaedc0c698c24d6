package org.laburnumarch;

import java.util.Objects;

/**
 * A result that is not {@link ResultCode#OK}, with an explanation for the caller.
 *
 * @param code the numbered result
 * @param message what is wrong and how to fix it
 * @param retryAfterMs milliseconds after which the caller may retry; 0 if repeating the same
 *     request would not help
 */
public record Refusal(ResultCode code, String message, long retryAfterMs) {

  public Refusal {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(message, "message");
  }

  /** Returns a refusal for which repeating the same request would not help. */
  public static Refusal of(ResultCode code, String message) {
    return new Refusal(code, message, 0);
  }

  /** Returns a refusal that names the time after which the request may be repeated. */
  public static Refusal retryable(ResultCode code, String message, long retryAfterMs) {
    return new Refusal(code, message, retryAfterMs);
  }
}
