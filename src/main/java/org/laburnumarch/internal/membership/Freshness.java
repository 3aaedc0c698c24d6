package org.laburnumarch.internal.membership;

import org.laburnumarch.internal.peer.PeerMessage.Report;

/**
 * Tracks when this daemon's state was last known to include the log's tail.
 *
 * <p>All instants are of the local clock. An age that a peer reports is subtracted from the time
 * the ping was sent, so a delayed pong can only make the state look older than it is.
 */
final class Freshness {
  private static final long NEVER_MS = Long.MIN_VALUE / 4;

  private long freshAtMs = NEVER_MS;
  private long ownReadAtMs = NEVER_MS;

  /** Records that a read sent at this time reached the tail. */
  void confirmTail(long sentAtMs) {
    ownReadAtMs = Math.max(ownReadAtMs, sentAtMs);
    freshAtMs = Math.max(freshAtMs, sentAtMs);
  }

  /** Adopts the freshness of a peer at the same offset that replied to a ping. */
  void adoptFromPeer(long pingSentAtMs, long reportedAgeMs) {
    if (reportedAgeMs >= 0 && reportedAgeMs < Report.NEVER_FRESH_MS) {
      freshAtMs = Math.max(freshAtMs, pingSentAtMs - reportedAgeMs);
    }
  }

  long freshAtMs() {
    return freshAtMs;
  }

  long ageMs(long nowMs) {
    return freshAtMs == NEVER_MS ? Report.NEVER_FRESH_MS : Math.max(0, nowMs - freshAtMs);
  }

  boolean isFresh(long nowMs) {
    return ageMs(nowMs) <= MemberTimes.FRESHNESS_LIMIT_MS;
  }

  /**
   * Returns whether this daemon itself recently read the log, so that appends are likely to work.
   */
  boolean isLogReachable(long nowMs) {
    return nowMs - ownReadAtMs <= MemberTimes.FRESHNESS_LIMIT_MS;
  }
}
