package org.laburnumarch.internal.task;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.spi.AttemptId;
import org.laburnumarch.spi.WorkerOrder;
import org.laburnumarch.spi.WorkerReport;

/** What the owner of a worker knows of it; rebuilt from its reports. */
final class WorkerView {

  private static final long NEVER = Long.MIN_VALUE / 2;

  final String worker;
  final long ownedSinceMs;
  private final Map<AttemptId, WorkerReport.Running> running = new HashMap<>();
  private final Map<AttemptId, WorkerReport.Result> ended = new HashMap<>();
  private WorkerReport report;
  private long reportAtMs = NEVER;
  private WorkerOrder lastOrder;
  private long lastOrderAtMs = NEVER;
  private int seenProbes = -1;
  private long probeAtMs;

  WorkerView(String worker, long ownedSinceMs) {
    this.worker = worker;
    this.ownedSinceMs = ownedSinceMs;
  }

  /** Takes a report; one that is older than the last is dropped. */
  void onReport(WorkerReport newReport, long nowMs) {
    boolean isSameProcess = report != null && report.incarnation().equals(newReport.incarnation());
    if (isSameProcess && newReport.atWorkerMs() < report.atWorkerMs()) {
      return;
    }
    report = newReport;
    reportAtMs = nowMs;
    running.clear();
    ended.clear();
    newReport.running().forEach(attempt -> running.put(attempt.id(), attempt));
    newReport.ended().forEach(attempt -> ended.put(attempt.id(), attempt.result()));
  }

  Optional<WorkerReport> report() {
    return Optional.ofNullable(report);
  }

  boolean isHeardSince(long sinceMs) {
    return reportAtMs >= sinceMs;
  }

  /** Returns since when nobody can have renewed anything on it without this daemon knowing. */
  long silentSinceMs() {
    return Math.max(ownedSinceMs, reportAtMs);
  }

  /** Returns an instant of this daemon by the clock of the worker, or somewhat earlier. */
  long atWorkerMs(long instantMs) {
    return report.atWorkerMs() + (instantMs - reportAtMs);
  }

  boolean isRunning(AttemptId id) {
    return running.containsKey(id);
  }

  Optional<WorkerReport.Result> ended(AttemptId id) {
    return Optional.ofNullable(ended.get(id));
  }

  /** Returns whether an order is to be sent now: it says something new, or it is time for one. */
  boolean isDue(WorkerOrder order, long exchangeMs, long nowMs) {
    boolean isNew =
        lastOrder == null
            || !lastOrder.starts().equals(order.starts())
            || !lastOrder.stops().equals(order.stops())
            || !lastOrder.checkpoints().equals(order.checkpoints());
    return isNew || nowMs - lastOrderAtMs >= exchangeMs;
  }

  void onSent(WorkerOrder order, long nowMs) {
    lastOrder = order;
    lastOrderAtMs = nowMs;
  }

  /** Returns whether a quarantined worker may get its next probe; pauses double. */
  boolean isProbeDue(int failedProbes, long nowMs) {
    if (failedProbes != seenProbes) {
      seenProbes = failedProbes;
      long pauseMs = TaskTimes.FIRST_PROBE_MS << Math.min(failedProbes, 10);
      probeAtMs = nowMs + Math.min(TaskTimes.LONGEST_PROBE_MS, pauseMs);
    }
    return nowMs >= probeAtMs;
  }
}
