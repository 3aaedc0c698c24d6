package org.laburnumarch.internal.pacing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The replies and missing replies of some time. Each worker counts once, by its fastest reply, so
 * that a few slow or silent workers do not hide how fast the link is.
 */
final class ReplyWindow {

  private final Map<String, Long> fastestMs = new HashMap<>();
  private final Set<String> missing = new HashSet<>();
  private int peakInFlight;

  void onInFlight(int starts) {
    peakInFlight = Math.max(peakInFlight, starts);
  }

  void onAnswered(String workerId, long replyMs) {
    fastestMs.merge(workerId, replyMs, Math::min);
  }

  void onMissing(String workerId) {
    missing.add(workerId);
  }

  /** Returns the most starts that were in flight at the same time. */
  int peakInFlight() {
    return peakInFlight;
  }

  /** Returns the number of workers with a reply or a missing reply. */
  int workers() {
    missing.removeAll(fastestMs.keySet());
    return fastestMs.size() + missing.size();
  }

  /** Returns whether more than half of the workers with a result have only missing replies. */
  boolean isMostlyMissing() {
    missing.removeAll(fastestMs.keySet());
    return missing.size() > fastestMs.size();
  }

  /**
   * Returns the reply time that a quarter of the workers do not exceed, in milliseconds; 0 without
   * replies. A full link delays all replies, and slow workers only their own.
   */
  long lowerQuartileMs() {
    long[] sorted = fastestMs.values().stream().mapToLong(Long::longValue).sorted().toArray();
    return sorted.length == 0 ? 0 : sorted[sorted.length / 4];
  }

  /** Begins the next window. */
  void clear(int startsInFlight) {
    fastestMs.clear();
    missing.clear();
    peakInFlight = startsInFlight;
  }
}
