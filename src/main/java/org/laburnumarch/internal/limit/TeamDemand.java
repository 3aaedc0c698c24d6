package org.laburnumarch.internal.limit;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Tracks the demand for one team's allowance on this daemon and on its peers. */
final class TeamDemand {
  private static final long SHORTAGE_VALID_MS = 300;
  private static final long BACKOFF_RESET_MS = 1_000;

  /** Longer than a round of requests among nine daemons, so that each daemon gets its turn. */
  private static final long PEER_REQUEST_VALID_MS = 4_000;

  private static final long PEAK_WINDOW_MS = 5_000;
  private static final long NEVER_MS = Long.MIN_VALUE / 4;

  private record PeerRequest(long units, long expiresAtMs) {}

  private final Map<String, PeerRequest> peerRequests = new LinkedHashMap<>();
  private long refusedSinceLastRequestUnits;
  private long lastRefusalAtMs = NEVER_MS;
  private long peakUnits;
  private long previousPeakUnits;
  private long windowEndsAtMs = NEVER_MS;

  long nextRequestAtMs;
  long requestIntervalMs;
  long lastTransferAtMs = NEVER_MS;
  long lastRebalanceAtMs = NEVER_MS;
  long reservedUnits;

  void recordRefusal(long nowMs) {
    refusedSinceLastRequestUnits++;
    lastRefusalAtMs = nowMs;
  }

  void recordRunning(long runningUnits) {
    peakUnits = Math.max(peakUnits, runningUnits);
  }

  /** Returns whether the last refusal is so old that the request interval starts anew. */
  boolean isBackoffResetDue(long nowMs) {
    return nowMs - lastRefusalAtMs > BACKOFF_RESET_MS;
  }

  boolean hasShortage(long nowMs) {
    return nowMs - lastRefusalAtMs <= SHORTAGE_VALID_MS;
  }

  /** Returns the units refused since the last request, at least 1, and resets their count. */
  long takeRefusedUnits(long maxUnits) {
    long units = Math.max(1, Math.min(maxUnits, refusedSinceLastRequestUnits));
    refusedSinceLastRequestUnits = 0;
    return units;
  }

  /** Returns the units refused since the last request, at least 1. */
  long refusedUnits() {
    return Math.max(1, refusedSinceLastRequestUnits);
  }

  /** Returns the maximum number of units that ran at once in the last 5 to 10 s. */
  long recentPeakUnits(long nowMs, long runningUnits) {
    if (nowMs >= windowEndsAtMs) {
      previousPeakUnits = peakUnits;
      peakUnits = runningUnits;
      windowEndsAtMs = nowMs + PEAK_WINDOW_MS;
    }
    return Math.max(Math.max(peakUnits, previousPeakUnits), runningUnits);
  }

  void recordPeerRequest(String peerId, long units, long nowMs) {
    peerRequests.put(peerId, new PeerRequest(units, nowMs + PEER_REQUEST_VALID_MS));
  }

  void removePeerRequest(String peerId) {
    peerRequests.remove(peerId);
  }

  boolean hasPeerRequests() {
    return !peerRequests.isEmpty();
  }

  /** Returns the requested units by peer, longest waiting first, and drops expired requests. */
  Map<String, Long> peerRequests(long nowMs) {
    Map<String, Long> live = new LinkedHashMap<>();
    for (Iterator<Map.Entry<String, PeerRequest>> i = peerRequests.entrySet().iterator();
        i.hasNext(); ) {
      Map.Entry<String, PeerRequest> request = i.next();
      if (request.getValue().expiresAtMs() <= nowMs) {
        i.remove();
      } else {
        live.put(request.getKey(), request.getValue().units());
      }
    }
    return live;
  }

  /** Keeps the remaining request, so that a peer need not repeat it. */
  void reducePeerRequest(String peerId, long givenUnits) {
    peerRequests.computeIfPresent(
        peerId,
        (id, request) ->
            request.units() <= givenUnits
                ? null
                : new PeerRequest(request.units() - givenUnits, request.expiresAtMs()));
  }
}
