package org.laburnumarch.internal.platform;

import java.net.ConnectException;
import java.util.concurrent.CompletionException;
import org.laburnumarch.internal.schedule.OrderReply;
import org.laburnumarch.internal.schedule.ReportFailure;
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

  /** Returns what a failed request for a worker's report tells about the worker. */
  public static ReportFailure reportFailure(Throwable failure) {
    if (unwrap(failure) instanceof WorkerRefusalException refusal) {
      return refusal.outcome() == OrderReply.Outcome.OTHER_INCARNATION
          ? ReportFailure.OTHER_PROCESS
          : ReportFailure.NO_ANSWER;
    }
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException
          && String.valueOf(cause.getMessage()).contains("Connection refused")) {
        return ReportFailure.CONNECTION_REFUSED;
      }
    }
    return ReportFailure.NO_ANSWER;
  }

  /**
   * Returns whether a failed call may still have taken effect; true if the failure is of unknown
   * kind.
   */
  public static boolean mayHaveTakenEffect(Throwable failure) {
    return !(unwrap(failure) instanceof PlatformException known) || known.mayHaveTakenEffect();
  }
}
