package org.laburnumarch.internal.platform;

import java.util.concurrent.CompletionException;
import org.laburnumarch.spi.PlatformException;

/** Evaluates the failures of calls to the platform. */
public final class PlatformFailures {

  private PlatformFailures() {}

  /** Returns the cause of a failure without the wrappers that completion stages add. */
  public static Throwable unwrap(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }

  /**
   * Returns whether a failed call may still have taken effect; true if the failure is of unknown
   * kind.
   */
  public static boolean mayHaveTakenEffect(Throwable failure) {
    return !(unwrap(failure) instanceof PlatformException known) || known.mayHaveTakenEffect();
  }
}
