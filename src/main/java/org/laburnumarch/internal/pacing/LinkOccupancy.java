package org.laburnumarch.internal.pacing;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the starts that may still be on the owner's link. A start without a reply has left the
 * link when one that was sent clearly later has been answered: it waits at a silent or slow worker,
 * and must not keep starts of other workers back until its time limit.
 */
final class LinkOccupancy {

  private final long overtakenMs;

  /** Numbers of starts without an outcome that may be on the link, by the time of sending. */
  private final TreeMap<Long, Integer> bySentAtMs = new TreeMap<>();

  private int count;
  private long latestAnsweredSentAtMs = Long.MIN_VALUE;

  /**
   * Creates the counter for an empty link.
   *
   * @param overtakenMs by how much later an answered start must have been sent. Connections share
   *     the link, so their order is not strict.
   */
  LinkOccupancy(long overtakenMs) {
    this.overtakenMs = overtakenMs;
  }

  int count() {
    return count;
  }

  void onSent(long nowMs) {
    count++;
    bySentAtMs.merge(nowMs, 1, Integer::sum);
  }

  void onSettled(long sentAtMs, boolean isAnswered) {
    Integer counted = bySentAtMs.get(sentAtMs);
    if (counted != null) {
      count--;
      bySentAtMs.computeIfPresent(sentAtMs, (key, starts) -> starts == 1 ? null : starts - 1);
    }
    if (isAnswered && sentAtMs > latestAnsweredSentAtMs) {
      latestAnsweredSentAtMs = sentAtMs;
      Map<Long, Integer> overtaken = bySentAtMs.headMap(sentAtMs - overtakenMs);
      overtaken.values().forEach(starts -> count -= starts);
      overtaken.clear();
    }
  }
}
