package org.laburnumarch.internal.task;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.spi.AttemptId;
import org.laburnumarch.spi.WorkerOrder;
import org.laburnumarch.spi.WorkerReport;

/** What the owner of a worker knows about it. Built from its reports. */
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
  private int lastFailedProbes = -1;
  private long nextProbeAtMs;

  WorkerView(String worker, long ownedSinceMs) {
    this.worker = worker;
    this.ownedSinceMs = ownedSinceMs;
  }

  /**
   * Replaces the last report. A report that the same process wrote earlier than the last one is
   * dropped.
   */
  void onReport(WorkerReport newReport, long nowMs) {
    boolean isSameProcess = report != null && report.incarnation().equals(newReport.incarnation());
    if (isSameProcess && newReport.createdAtWorkerMs() < report.createdAtWorkerMs()) {
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

  boolean hasReportedSince(long sinceMs) {
    return reportAtMs >= sinceMs;
  }

  /**
   * Returns the start of the present silence: the last report, or the start of ownership if that is
   * later. No member can have renewed a lease on the worker since then without this daemon knowing.
   */
  long silentSinceMs() {
    return Math.max(ownedSinceMs, reportAtMs);
  }

  /**
   * Converts an instant of this daemon's clock to the worker's clock. The result is too early by
   * the time that the last report was on its way.
   */
  long toWorkerClockMs(long instantMs) {
    return report.createdAtWorkerMs() + (instantMs - reportAtMs);
  }

  boolean isRunning(AttemptId id) {
    return running.containsKey(id);
  }

  Optional<WorkerReport.Result> ended(AttemptId id) {
    return Optional.ofNullable(ended.get(id));
  }

  /**
   * Returns whether to send an order now: its starts, stops or checkpoints differ from the last
   * order, or the exchange interval has passed.
   */
  boolean isDue(WorkerOrder order, long exchangeIntervalMs, long nowMs) {
    boolean isChanged =
        lastOrder == null
            || !lastOrder.starts().equals(order.starts())
            || !lastOrder.stops().equals(order.stops())
            || !lastOrder.checkpoints().equals(order.checkpoints());
    return isChanged || nowMs - lastOrderAtMs >= exchangeIntervalMs;
  }

  void onSent(WorkerOrder order, long nowMs) {
    lastOrder = order;
    lastOrderAtMs = nowMs;
  }

  /**
   * Returns whether a quarantined worker may get its next probe. The pause doubles with each failed
   * probe.
   */
  boolean isProbeDue(int failedProbes, long nowMs) {
    if (failedProbes != lastFailedProbes) {
      lastFailedProbes = failedProbes;
      long pauseMs = TaskTimes.FIRST_PROBE_PAUSE_MS << Math.min(failedProbes, 10);
      nextProbeAtMs = nowMs + Math.min(TaskTimes.MAX_PROBE_PAUSE_MS, pauseMs);
    }
    return nowMs >= nextProbeAtMs;
  }
}
