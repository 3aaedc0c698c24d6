package org.laburnumarch.internal.schedule;

import java.util.Optional;

/** Decides when a worker's lease is renewed and how long it may wait with its report. */
final class Renewals {

  /** Longest wait of a report; the platform allows 2,000 ms. */
  private static final long LONGEST_WAIT_MS = 1_000;

  /** Least time between two reports, so that ends that come close together share one. */
  private static final long REPORT_PAUSE_MS = 20;

  /**
   * Time after which a report is asked for although ends of the last one are not stored yet. The
   * worker would list them again at once, so asking more often only costs calls.
   */
  private static final long UNSTORED_PAUSE_MS = 250;

  /** Time after which ends on an idle worker are acknowledged. */
  private static final long IDLE_ACK_MS = 600;

  /** Pause after a report that did not come. */
  private static final long MISS_PAUSE_MS = 200;

  private Renewals() {}

  static Optional<Renewal> decide(Worker worker, SchedulerSettings settings, long nowMs) {
    Optional<Renewal> renewal = choose(worker, settings, nowMs);
    renewal.ifPresent(chosen -> worker.sentAcknowledgement = chosen.acknowledgedEnd());
    return renewal;
  }

  private static Optional<Renewal> choose(Worker worker, SchedulerSettings settings, long nowMs) {
    long sinceReportMs = nowMs - worker.lastReportTryMs;
    if (!worker.isFenced) {
      return worker.missedReports > 0 && sinceReportMs < MISS_PAUSE_MS
          ? Optional.empty()
          : Optional.of(new Renewal(worker.id, -1, worker.acknowledgedEnd, 0));
    }
    if (worker.attempts.isEmpty()) {
      boolean isAckDue =
          worker.acknowledgedEnd > worker.sentAcknowledgement && sinceReportMs > IDLE_ACK_MS;
      boolean isProbeDue = worker.missedReports > 0 && sinceReportMs > MISS_PAUSE_MS;
      return isAckDue || isProbeDue
          ? Optional.of(new Renewal(worker.id, -1, worker.acknowledgedEnd, 0))
          : Optional.empty();
    }
    long pauseMs =
        worker.missedReports > 0
            ? MISS_PAUSE_MS
            : worker.hasUnacknowledgedEnds() ? UNSTORED_PAUSE_MS : REPORT_PAUSE_MS;
    if (sinceReportMs < pauseMs) {
      return Optional.empty();
    }
    if (worker.missedReports > 0) {
      // A worker that does not answer must not have its lease extended by what reaches it late.
      return Optional.of(new Renewal(worker.id, -1, worker.acknowledgedEnd, 0));
    }
    long leaseEndClockMs = worker.clockMs(nowMs) + settings.leaseMs();
    worker.leaseEndClockMs = Math.max(worker.leaseEndClockMs, leaseEndClockMs);
    long waitMs = worker.hasUnacknowledgedEnds() ? 0 : LONGEST_WAIT_MS;
    return Optional.of(new Renewal(worker.id, leaseEndClockMs, worker.acknowledgedEnd, waitMs));
  }
}
