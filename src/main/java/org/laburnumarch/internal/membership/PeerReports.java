package org.laburnumarch.internal.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.laburnumarch.internal.peer.PeerMessage.Report;

/**
 * Stores the highest offset that each member reported about itself, and the contents of its latest
 * pong.
 */
final class PeerReports {
  /**
   * Contents of a pong.
   *
   * @param pingSentAtMs when the ping was sent
   * @param isFresh whether the member was fresh when it replied
   */
  private record PongStatus(long pingSentAtMs, long nextOffset, boolean isFresh) {}

  private record ReportedOffset(long nextOffset, long receivedAtMs) {}

  private final Map<String, PongStatus> pongs = new HashMap<>();
  private final Map<String, ReportedOffset> reportedOffsets = new HashMap<>();

  void onPong(String memberId, Report report, long pingSentAtMs) {
    PongStatus previous = pongs.get(memberId);
    if (previous == null || pingSentAtMs >= previous.pingSentAtMs()) {
      boolean isFresh = report.freshnessAgeMs() <= MemberTimes.FRESHNESS_LIMIT_MS;
      pongs.put(memberId, new PongStatus(pingSentAtMs, report.nextOffset(), isFresh));
    }
  }

  void onReport(String memberId, Report report, long nowMs) {
    reportedOffsets.merge(
        memberId,
        new ReportedOffset(report.nextOffset(), nowMs),
        (previous, latest) -> latest.nextOffset() >= previous.nextOffset() ? latest : previous);
  }

  /** Returns whether a recent pong shows the member neither fresh nor ahead of this daemon. */
  boolean confirmsOutage(String memberId, long ownNextOffset, long nowMs) {
    PongStatus pong = pongs.get(memberId);
    return pong != null
        && isRecent(pong.pingSentAtMs(), nowMs)
        && !pong.isFresh()
        && pong.nextOffset() <= ownNextOffset;
  }

  /** Returns whether any member recently reported records that this daemon has not applied. */
  boolean isBehind(long ownNextOffset, long nowMs) {
    return reportedOffsets.values().stream()
        .anyMatch(p -> p.nextOffset() > ownNextOffset && isRecent(p.receivedAtMs(), nowMs));
  }

  /** Returns whether a read reached the tail below an offset that a peer had reported before. */
  boolean isTailContradicted(long ownNextOffset, long freshAtMs) {
    return reportedOffsets.values().stream()
        .anyMatch(p -> p.nextOffset() > ownNextOffset && p.receivedAtMs() < freshAtMs);
  }

  /** Returns the member that recently reported the highest offset above the daemon's own. */
  Optional<String> mostAdvanced(long ownNextOffset, long nowMs) {
    return reportedOffsets.entrySet().stream()
        .filter(e -> e.getValue().nextOffset() > ownNextOffset)
        .filter(e -> isRecent(e.getValue().receivedAtMs(), nowMs))
        .max((a, b) -> Long.compare(a.getValue().nextOffset(), b.getValue().nextOffset()))
        .map(Map.Entry::getKey);
  }

  /** Returns the highest next offset that a member reported; 0 if it has reported none. */
  long reportedOffsetOf(String memberId) {
    ReportedOffset reported = reportedOffsets.get(memberId);
    return reported == null ? 0 : reported.nextOffset();
  }

  void retainMembers(Set<String> members) {
    pongs.keySet().retainAll(members);
    reportedOffsets.keySet().retainAll(members);
  }

  private static boolean isRecent(long atMs, long nowMs) {
    return nowMs - atMs <= MemberTimes.FRESHNESS_LIMIT_MS;
  }
}
