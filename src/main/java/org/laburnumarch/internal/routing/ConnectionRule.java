package org.laburnumarch.internal.routing;

import java.util.Set;

/** Decides which connection may carry a request, and how many connections a daemon may open. */
public final class ConnectionRule {
  /** A connection that has been idle for longer may have been lost without notice. */
  public static final long MAX_FRESH_IDLE_MS = 1_000;

  /** Idempotent methods of RFC 9110. */
  private static final Set<String> IDEMPOTENT =
      Set.of("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE");

  private ConnectionRule() {}

  /** Returns whether a request of this method may be run twice. */
  public static boolean isIdempotent(String method) {
    return IDEMPOTENT.contains(method);
  }

  /** Returns whether a connection that has been idle since the given instant is fresh. */
  public static boolean isFresh(long idleSinceMs, long nowMs) {
    return nowMs - idleSinceMs <= MAX_FRESH_IDLE_MS;
  }

  /** Returns whether an idle connection may carry a request. */
  public static boolean mayCarry(boolean isIdempotent, long idleSinceMs, long nowMs) {
    return isIdempotent || isFresh(idleSinceMs, nowMs);
  }

  /** Returns how many connections a daemon with a seat may open to one minion, at least 1. */
  public static int connectionsPerSeat(int connectionsPerMinion, int maxSeats) {
    return Math.max(1, connectionsPerMinion / Math.max(1, maxSeats));
  }
}
