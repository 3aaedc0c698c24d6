package org.laburnumarch.internal.pacing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The replies and missing replies of about one round trip. Each worker counts once, by its fastest
 * reply, so that a few slow or silent workers do not hide how fast the link is.
 */
final class ReplyWindow {

  /**
   * Fewest workers whose replies say something about the link and not about one worker. A fleet
   * with fewer workers is bounded by the limits of its workers.
   */
  private static final int MIN_WORKERS = 3;

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

  /** Returns whether there are results of enough workers. */
  boolean isSufficient() {
    missing.removeAll(fastestMs.keySet());
    return fastestMs.size() + missing.size() >= MIN_WORKERS;
  }

  /** Returns whether more than half of the workers with a result have only missing replies. */
  boolean isMostlyMissing() {
    missing.removeAll(fastestMs.keySet());
    return missing.size() > fastestMs.size();
  }

  /** Returns the median of the workers' fastest replies, in milliseconds; 0 without replies. */
  long medianMs() {
    long[] sorted = fastestMs.values().stream().mapToLong(Long::longValue).sorted().toArray();
    return sorted.length == 0 ? 0 : sorted[sorted.length / 2];
  }

  /** Begins the next window. */
  void clear(int startsInFlight) {
    fastestMs.clear();
    missing.clear();
    peakInFlight = startsInFlight;
  }
}
