package org.laburnumarch.internal.routing;

/** Failures, probes and leaving announcements of one minion, as observed by this daemon. */
final class MinionHealth {
  /** How long a minion's leaving announcement overrides an instance list that says it is live. */
  static final long LEAVING_ANNOUNCEMENT_MS = 60_000;

  /** Consecutive failures that make a minion failing; a single lost connection does not. */
  private static final int FAILING_THRESHOLD = 2;

  private static final long FIRST_PROBE_DELAY_MS = 200;
  private static final int MAX_DOUBLINGS = 6;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private int failureCount;
  private long probeAtMs = NEVER;
  private long leavingUntilMs = NEVER;

  void recordSuccess() {
    failureCount = 0;
    probeAtMs = NEVER;
  }

  void recordFailure(long nowMs) {
    failureCount++;
    int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failureCount - FAILING_THRESHOLD));
    probeAtMs = nowMs + (FIRST_PROBE_DELAY_MS << doublings);
  }

  void recordLeaving(long nowMs) {
    leavingUntilMs = nowMs + LEAVING_ANNOUNCEMENT_MS;
  }

  boolean isLeaving(long nowMs) {
    return nowMs < leavingUntilMs;
  }

  boolean isFailing() {
    return failureCount >= FAILING_THRESHOLD;
  }

  int failureCount() {
    return failureCount;
  }

  /** Returns whether a failing minion may be probed; {@link #recordProbe} delays the next probe. */
  boolean isProbeDue(long nowMs) {
    return isFailing() && nowMs >= probeAtMs;
  }

  void recordProbe(long nowMs) {
    int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failureCount - FAILING_THRESHOLD));
    probeAtMs = nowMs + (FIRST_PROBE_DELAY_MS << doublings);
  }
}
