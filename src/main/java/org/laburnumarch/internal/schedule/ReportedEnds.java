package org.laburnumarch.internal.schedule;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The ends that an incarnation of a worker has reported, until they are acknowledged.
 *
 * <p>An acknowledgement makes the worker forget all ends up to a number, so each of them must have
 * been applied and stored. A worker may list an end after one with a higher number. A number that a
 * report leaves out counts as unused only if a second report, requested after the first, lacks it
 * too.
 */
final class ReportedEnds {

  private record AppliedEnd(long batchNumber, String taskName) {}

  /** Ends that have been applied and not acknowledged, by number. */
  private final TreeMap<Long, AppliedEnd> applied = new TreeMap<>();

  /** Number up to which each end has been applied or its number is unused. */
  private long completeUpTo;

  private long acknowledged;

  /** Highest number that had been applied when a report arrived, and when that was. */
  private long watermark;

  private long watermarkAtMs;

  /** Returns whether an end that a report lists has not been applied yet. */
  boolean isNew(EndedTask ended) {
    return ended.number() > acknowledged && !applied.containsKey(ended.number());
  }

  /**
   * Records that an end has been applied.
   *
   * @param batchNumber number of the batch that must be stored before the end is acknowledged
   */
  void onApplied(EndedTask ended, long batchNumber) {
    applied.put(ended.number(), new AppliedEnd(batchNumber, ended.taskName()));
  }

  /**
   * Records that all ends of a report have been applied.
   *
   * @param requestedAtMs local time at which the report was requested
   */
  void onReport(WorkerReport report, long requestedAtMs, long nowMs) {
    if (hasGap() && requestedAtMs > watermarkAtMs) {
      long listedUpTo =
          report.listsAllEnds()
              ? watermark
              : report.ended().stream().mapToLong(EndedTask::number).max().orElse(0);
      completeUpTo = Math.max(completeUpTo, Math.min(listedUpTo, watermark));
    }
    while (applied.containsKey(completeUpTo + 1)) {
      completeUpTo++;
    }
    if (!hasGap() && !applied.isEmpty()) {
      watermark = applied.lastKey();
      watermarkAtMs = nowMs;
    }
  }

  /** Acknowledges the ends whose effects have been stored. */
  void acknowledge(long storedBatchNumber) {
    for (Map.Entry<Long, AppliedEnd> first = applied.firstEntry();
        first != null
            && first.getKey() <= completeUpTo
            && first.getValue().batchNumber() <= storedBatchNumber;
        first = applied.firstEntry()) {
      acknowledged = Math.max(acknowledged, first.getKey());
      applied.remove(first.getKey());
    }
  }

  /** Returns the number up to which the worker may forget ends. */
  long acknowledged() {
    return acknowledged;
  }

  boolean hasUnacknowledged() {
    return !applied.isEmpty();
  }

  /** Returns whether another report must show whether numbers are unused. */
  boolean hasGap() {
    return watermark > completeUpTo;
  }

  /** Returns the names of the tasks whose ends may not be stored yet. */
  List<String> unacknowledgedTasks() {
    return applied.values().stream().map(AppliedEnd::taskName).toList();
  }
}
