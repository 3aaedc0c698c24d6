package org.laburnumarch.internal.daemon;

import org.laburnumarch.internal.peer.PeerMessage.Report;

/**
 * A report of a peer and the time at which it was received.
 *
 * @param receivedAtMs on this daemon's monotonic clock
 */
record ReceivedReport(Report report, long receivedAtMs) {

  /** Maximum age of a report that still describes the present; pings are at most 3 s apart. */
  private static final long MAX_AGE_MS = 5_000;

  /** Returns whether the report is not older than the maximum age. */
  boolean isRecent(long nowMs) {
    return nowMs - receivedAtMs <= MAX_AGE_MS;
  }

  /**
   * Returns this report updated by a newer one. A short report, which carries no heartbeats,
   * carries no demand either; both are then kept from this report.
   */
  ReceivedReport updatedBy(ReceivedReport newer) {
    if (!newer.report.heartbeats().isEmpty()) {
      return newer;
    }
    Report merged =
        new Report(
            newer.report.nextOffset(),
            newer.report.freshnessAgeMs(),
            report.heartbeats(),
            report.demand());
    return new ReceivedReport(merged, newer.receivedAtMs);
  }
}
