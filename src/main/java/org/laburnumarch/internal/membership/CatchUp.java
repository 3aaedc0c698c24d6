package org.laburnumarch.internal.membership;

import java.util.Optional;
import org.laburnumarch.internal.peer.PeerMessage;
import org.laburnumarch.internal.peer.PeerMessage.Records;
import org.laburnumarch.internal.peer.PeerMessage.RecordsRequest;
import org.laburnumarch.internal.peer.PeerMessage.SnapshotRequest;

/** Requests records from a peer that is ahead if this daemon's own log reads do not return them. */
final class CatchUp {
  /** Time to wait for this daemon's own log reads, which usually return the records sooner. */
  private static final long OWN_READ_GRACE_MS = 200;

  private static final long RETRY_MS = 500;

  private long behindSinceMs = Long.MAX_VALUE;
  private long nextRequestAtMs = Long.MIN_VALUE;
  private boolean isSnapshotNeeded;

  /** A gap in the response means that the peer no longer keeps the records. */
  void onRecords(Records response, long ownNextOffset) {
    boolean isGap =
        response.records().isEmpty() || response.records().get(0).offset() > ownNextOffset;
    isSnapshotNeeded = isGap;
  }

  void onState() {
    behindSinceMs = Long.MAX_VALUE;
    isSnapshotNeeded = false;
  }

  Optional<MembershipEffect> due(
      PeerReports reports, long ownNextOffset, boolean isReachable, long nowMs) {
    Optional<String> peer = reports.mostAdvanced(ownNextOffset, nowMs);
    if (peer.isEmpty()) {
      behindSinceMs = Long.MAX_VALUE;
      return Optional.empty();
    }
    behindSinceMs = Math.min(behindSinceMs, nowMs);
    if (nowMs - behindSinceMs < (isReachable ? OWN_READ_GRACE_MS : 0) || nowMs < nextRequestAtMs) {
      return Optional.empty();
    }
    nextRequestAtMs = nowMs + RETRY_MS;
    PeerMessage request =
        isSnapshotNeeded ? new SnapshotRequest() : new RecordsRequest(ownNextOffset);
    return Optional.of(new MembershipEffect.Send(peer.get(), request));
  }
}
