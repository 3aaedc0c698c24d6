package org.laburnumarch.internal.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.laburnumarch.internal.peer.PeerMessage.MemberHeartbeat;

/** Tracks the last heartbeat of each member, seen directly or reported by peers. */
final class HeartbeatTracker {
  /** Bounds a report so that its size does not grow with the fleet. */
  private static final int MAX_MEMBERS_PER_REPORT = 6;

  private static final long NEVER_MS = Long.MIN_VALUE / 4;

  private final Map<String, Long> heartbeatAtMs = new HashMap<>();

  /** Start of silence for members without a heartbeat. Does not count as a heartbeat itself. */
  private final Map<String, Long> silentSinceMs = new HashMap<>();

  private int cursor;

  void recordHeartbeat(String memberId, long atMs) {
    heartbeatAtMs.merge(memberId, atMs, Math::max);
  }

  /**
   * Records heartbeats that a peer reports; the transit time of the report is unknown and ignored.
   */
  void recordReported(List<MemberHeartbeat> heartbeats, long nowMs) {
    heartbeats.forEach(h -> recordHeartbeat(h.memberId(), nowMs - Math.max(0, h.ageMs())));
  }

  /**
   * Starts measuring the silence of new members now, and removes members that are no longer in the
   * state.
   */
  void onMembers(MemberView view, long nowMs) {
    var members = view.state().members().keySet();
    heartbeatAtMs.keySet().retainAll(members.toJavaSet());
    silentSinceMs.keySet().retainAll(members.toJavaSet());
    members.forEach(id -> silentSinceMs.putIfAbsent(id, nowMs));
  }

  /** Resets silence after a pause of this process, which does not show that others were silent. */
  void resetSilence(long nowMs) {
    silentSinceMs.replaceAll((id, atMs) -> nowMs);
  }

  long silenceMs(String memberId, long nowMs) {
    long sinceMs = silentSinceMs.getOrDefault(memberId, nowMs);
    return nowMs - Math.max(sinceMs, heartbeatAtMs.getOrDefault(memberId, NEVER_MS));
  }

  boolean isHeardRecently(String memberId, long nowMs) {
    return silenceMs(memberId, nowMs) < MemberTimes.SUSPECT_AFTER_MS;
  }

  private boolean isKnownAlive(String memberId, long nowMs) {
    return nowMs - heartbeatAtMs.getOrDefault(memberId, NEVER_MS) < MemberTimes.SUSPECT_AFTER_MS;
  }

  /** Returns the last heartbeats of a few live members, rotating through all of them. */
  List<MemberHeartbeat> recentHeartbeats(MemberView view, long nowMs) {
    List<String> ids =
        view.active()
            .map(m -> m.memberId())
            .filter(id -> !id.equals(view.selfId()) && isKnownAlive(id, nowMs))
            .toJavaList();
    List<MemberHeartbeat> report = new ArrayList<>();
    for (int i = 0; i < Math.min(MAX_MEMBERS_PER_REPORT, ids.size()); i++) {
      cursor = (cursor + 1) % ids.size();
      String id = ids.get(cursor);
      report.add(new MemberHeartbeat(id, nowMs - heartbeatAtMs.get(id)));
    }
    return report;
  }
}
