package org.laburnumarch.internal.routing;

/**
 * Bounds retries to a tenth of the requests, so that retries cannot multiply an overload.
 *
 * <p>Confined to one thread at a time.
 */
public final class RetryBudget {
  /** Maximum number of retries of one request. */
  public static final int MAX_RETRIES = 2;

  private static final double RETRIES_PER_REQUEST = 0.1;

  /** Minimum time for an attempt on a connection that may have been lost without notice. */
  private static final long MIN_STALE_ATTEMPT_MS = 500;

  /** An attempt on such a connection gets this multiple of the usual run time. */
  private static final double STALE_ATTEMPT_FACTOR = 4;

  /**
   * Maximum number of unused retries that are kept for later: as many as one daemon has connections
   * to a minion. This bounds the burst of retries when a minion fails with all of these
   * connections.
   */
  private static final double MAX_SAVED_RETRIES = 10;

  private double savedRetries = MAX_SAVED_RETRIES;

  /** Counts a request that was dispatched for the first time. */
  public void countRequest() {
    savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + RETRIES_PER_REQUEST);
  }

  /** Returns whether a request may be retried, and counts the retry if so. */
  public boolean tryRetry(boolean isIdempotent, boolean isSent, int retriesDone) {
    boolean isAllowed = isIdempotent || !isSent;
    if (!isAllowed || retriesDone >= MAX_RETRIES || savedRetries < 1) {
      return false;
    }
    savedRetries--;
    return true;
  }

  /**
   * Returns the instant at which an attempt times out.
   *
   * <p>An attempt that may be repeated gets an equal part of the remaining time; any other gets all
   * of it.
   */
  public static long attemptDeadlineMs(
      boolean isIdempotent, int retriesDone, long deadlineMs, long nowMs) {
    int attemptsLeft = isIdempotent ? MAX_RETRIES - retriesDone + 1 : 1;
    return nowMs + Math.max(0, deadlineMs - nowMs) / Math.max(1, attemptsLeft);
  }

  /**
   * Returns the instant at which an attempt on a connection that is not fresh times out, at most
   * {@code attemptDeadlineMs}.
   *
   * <p>A new connection takes milliseconds, so a long wait on one that may be lost is not
   * worthwhile.
   *
   * @param attemptDeadlineMs when the attempt would time out on a fresh connection
   * @param expectedMs usual run time of such a request
   */
  public static long staleAttemptDeadlineMs(long attemptDeadlineMs, double expectedMs, long nowMs) {
    double allowedMs = Math.max(MIN_STALE_ATTEMPT_MS, STALE_ATTEMPT_FACTOR * expectedMs);
    return Math.min(attemptDeadlineMs, nowMs + Math.round(allowedMs));
  }
}
