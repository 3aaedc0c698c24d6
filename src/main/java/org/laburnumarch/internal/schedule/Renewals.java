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

  /** Time after which an idle worker is asked again, to acknowledge ends that are stored by now. */
  private static final long IDLE_ACK_MS = 600;

  /**
   * Age of a worker's report up to which ends are acknowledged. A worker that starts again under
   * its id counts its ends anew and must not take an acknowledgement that is meant for its earlier
   * life; to start again takes a process longer than this.
   */
  private static final long ACKNOWLEDGE_WITHIN_MS = 100;

  /** Pause after a report that did not come. */
  private static final long MISS_PAUSE_MS = 200;

  private Renewals() {}

  static Optional<Renewal> decide(Worker worker, SchedulerSettings settings, long nowMs) {
    Optional<Renewal> renewal = choose(worker, settings, nowMs);
    renewal.ifPresent(
        chosen ->
            worker.sentAcknowledgement =
                Math.max(worker.sentAcknowledgement, chosen.acknowledgedEnd()));
    return renewal;
  }

  /** Returns the end to acknowledge now; 0 for none. */
  private static long acknowledgement(Worker worker, long nowMs) {
    boolean isLifeCertain =
        worker.missedReports == 0 && nowMs - worker.lastReportTryMs <= ACKNOWLEDGE_WITHIN_MS;
    return isLifeCertain ? worker.acknowledgedEnd : 0;
  }

  private static Optional<Renewal> choose(Worker worker, SchedulerSettings settings, long nowMs) {
    long sinceReportMs = nowMs - worker.lastReportTryMs;
    if (!worker.isFenced) {
      return worker.missedReports > 0 && sinceReportMs < MISS_PAUSE_MS
          ? Optional.empty()
          : Optional.of(new Renewal(worker.id, -1, 0, 0));
    }
    long acknowledgement = acknowledgement(worker, nowMs);
    if (worker.attempts.isEmpty()) {
      boolean isAckMissing = worker.acknowledgedEnd > worker.sentAcknowledgement;
      boolean isAckDue =
          isAckMissing
              && (sinceReportMs > IDLE_ACK_MS
                  || (acknowledgement > 0 && sinceReportMs >= REPORT_PAUSE_MS));
      boolean isProbeDue = worker.missedReports > 0 && sinceReportMs > MISS_PAUSE_MS;
      return isAckDue || isProbeDue
          ? Optional.of(new Renewal(worker.id, -1, acknowledgement, 0))
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
      return Optional.of(new Renewal(worker.id, -1, 0, 0));
    }
    long leaseEndClockMs = worker.clockMs(nowMs) + settings.leaseMs();
    worker.leaseEndClockMs = Math.max(worker.leaseEndClockMs, leaseEndClockMs);
    long waitMs = worker.hasUnacknowledgedEnds() ? 0 : LONGEST_WAIT_MS;
    return Optional.of(new Renewal(worker.id, leaseEndClockMs, acknowledgement, waitMs));
  }
}
