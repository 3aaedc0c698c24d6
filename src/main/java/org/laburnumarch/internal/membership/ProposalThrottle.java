package org.laburnumarch.internal.membership;

import java.util.HashMap;
import java.util.Map;

/** Suppresses repetitions of a proposal until it has had time to take effect. */
final class ProposalThrottle {
  private final Map<String, Long> proposedAtMs = new HashMap<>();

  /** Returns whether the proposal may be made now, and records it if so. */
  boolean tryPropose(String key, long nowMs) {
    proposedAtMs.values().removeIf(atMs -> nowMs - atMs >= MemberTimes.PROPOSAL_RETRY_MS);
    return proposedAtMs.putIfAbsent(key, nowMs) == null;
  }
}
