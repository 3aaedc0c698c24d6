package org.laburnumarch.internal.platform;

import java.util.concurrent.CompletionException;
import org.laburnumarch.spi.PlatformException;

/** Reads what a failed stage says. */
public final class PlatformFailures {

  private PlatformFailures() {}

  /** Returns the failure without the wrappers that stages put around it. */
  public static Throwable unwrap(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }

  /** Returns whether the call may have taken effect in spite of its failure. */
  public static boolean mayHaveTakenEffect(Throwable failure) {
    return !(unwrap(failure) instanceof PlatformException platform)
        || platform.mayHaveTakenEffect();
  }
}
