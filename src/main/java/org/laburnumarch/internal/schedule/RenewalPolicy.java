package org.laburnumarch.internal.schedule;

import java.util.Optional;
import org.laburnumarch.internal.pacing.StartLimits;

/**
 * Decides when a worker is asked for a report, whether that renews its lease, and how long the
 * worker may delay the report.
 */
final class RenewalPolicy {

  /** Longest time that a worker may delay a report; the platform allows 2,000 ms. */
  private static final long MAX_REPORT_WAIT_MS = 1_000;

  /**
   * Minimum time from a report to the next request, so that runs that end close together share a
   * report.
   */
  private static final long MIN_REPORT_INTERVAL_MS = 20;

  /**
   * Minimum time from a report to the next request while replies of workers are late. A request
   * that is sent by the timer of the owner, every 50 ms, can then still carry an acknowledgement.
   */
  private static final long MIN_PRESSED_REPORT_INTERVAL_MS = 50;

  /** Highest minimum time between reports as a fraction of a lease, which each report renews. */
  private static final double MAX_REPORT_INTERVAL_OF_LEASE = 0.05;

  /**
   * Interval between reports while ends from the last one are not stored yet. The worker would list
   * the same ends again at once, so asking more often only costs calls.
   */
  private static final long UNSTORED_ENDS_INTERVAL_MS = 250;

  /**
   * Time after which an idle worker is contacted to acknowledge ends that have been stored since.
   */
  private static final long IDLE_ACK_INTERVAL_MS = 600;

  /**
   * Maximum age of the reading of an idle worker's clock. Its drift since then shortens the lease
   * of the next start.
   */
  private static final long MAX_IDLE_CLOCK_AGE_MS = 30_000;

  /** Maximum time since a worker's last report arrived for acknowledging ends. */
  private static final long MAX_REPORT_AGE_FOR_ACK_MS = 100;

  /**
   * Maximum time since a worker's process was certainly running for acknowledging ends. A worker
   * that restarts under its id numbers its ends from 1 again and must not receive an
   * acknowledgement meant for its earlier incarnation: it would forget ends that it has never
   * listed. A process takes longer than this to restart.
   */
  private static final long MAX_ALIVE_AGE_FOR_ACK_MS = 200;

  /** Interval between requests after a missed report. */
  private static final long RETRY_AFTER_MISS_MS = 200;

  /** Longest interval between requests to a worker that the registry lists. */
  private static final long MAX_RETRY_LISTED_MS = 800;

  /**
   * Longest interval between requests to a worker that the registry does not list. Most of these
   * have left, and each request costs a connection.
   */
  private static final long MAX_RETRY_UNLISTED_MS = 3_200;

  private RenewalPolicy() {}

  /**
   * Decides whether a worker is asked now.
   *
   * @param mayHaveEarlierRuns whether its next reports may show runs of an earlier owner
   */
  static Optional<Renewal> decide(
      Worker worker,
      SchedulerSettings settings,
      StartLimits limits,
      boolean mayHaveEarlierRuns,
      long nowMs) {
    Optional<Renewal> renewal = choose(worker, settings, limits, mayHaveEarlierRuns, nowMs);
    renewal.ifPresent(
        chosen ->
            worker.sentAcknowledgement =
                Math.max(worker.sentAcknowledgement, chosen.acknowledgedEnd()));
    return renewal;
  }

  /** Returns the number of the end to acknowledge now; 0 for none. */
  private static long acknowledgement(Worker worker, long nowMs) {
    boolean isIncarnationCertain =
        worker.missedReports == 0
            && nowMs - worker.lastReportAttemptMs <= MAX_REPORT_AGE_FOR_ACK_MS
            && worker.wasAliveWithin(MAX_ALIVE_AGE_FOR_ACK_MS, nowMs);
    return isIncarnationCertain ? worker.ends.acknowledged() : 0;
  }

  /** Returns the interval between two requests to a worker whose last report was missed. */
  private static long retryAfterMissMs(Worker worker) {
    long maxMs = worker.isListed ? MAX_RETRY_LISTED_MS : MAX_RETRY_UNLISTED_MS;
    int doublings = Math.min(Math.max(0, worker.missedReports - 1), Long.SIZE / 2);
    return Math.min(maxMs, RETRY_AFTER_MISS_MS << doublings);
  }

  private static long minReportIntervalMs(
      SchedulerSettings settings, StartLimits limits, long nowMs) {
    long pressedMs =
        limits.reportIntervalMs(MIN_REPORT_INTERVAL_MS, MIN_PRESSED_REPORT_INTERVAL_MS, nowMs);
    return Math.min(pressedMs, (long) (settings.leaseMs() * MAX_REPORT_INTERVAL_OF_LEASE));
  }

  private static Optional<Renewal> choose(
      Worker worker,
      SchedulerSettings settings,
      StartLimits limits,
      boolean mayHaveEarlierRuns,
      long nowMs) {
    long sinceReportMs = nowMs - worker.lastReportAttemptMs;
    if (!worker.isFenced) {
      return worker.missedReports > 0 && sinceReportMs < retryAfterMissMs(worker)
          ? Optional.empty()
          : Optional.of(new Renewal(worker.id, -1, 0, 0));
    }
    long acknowledgement = acknowledgement(worker, nowMs);
    if (worker.attempts.isEmpty()) {
      boolean isAckDue =
          worker.hasUnsentAcknowledgement()
              && (sinceReportMs > IDLE_ACK_INTERVAL_MS
                  || (acknowledgement > 0 && sinceReportMs >= MIN_REPORT_INTERVAL_MS));
      boolean isProbeDue = worker.missedReports > 0 && sinceReportMs > retryAfterMissMs(worker);
      boolean isClockReadingDue =
          worker.acceptsTasks()
              && worker.clockAgeMs(nowMs) > MAX_IDLE_CLOCK_AGE_MS
              && sinceReportMs > IDLE_ACK_INTERVAL_MS;
      boolean isListingDue =
          mayHaveEarlierRuns
              && worker.missedReports == 0
              && sinceReportMs
                  >= (worker.ends.hasUnacknowledged()
                      ? UNSTORED_ENDS_INTERVAL_MS
                      : MIN_REPORT_INTERVAL_MS);
      boolean isGapDue =
          worker.ends.hasGap()
              && worker.missedReports == 0
              && sinceReportMs >= MIN_REPORT_INTERVAL_MS;
      return isAckDue || isProbeDue || isClockReadingDue || isListingDue || isGapDue
          ? Optional.of(new Renewal(worker.id, -1, acknowledgement, 0))
          : Optional.empty();
    }
    long pauseMs =
        worker.missedReports > 0
            ? retryAfterMissMs(worker)
            : worker.ends.hasUnacknowledged()
                ? UNSTORED_ENDS_INTERVAL_MS
                : minReportIntervalMs(settings, limits, nowMs);
    if (sinceReportMs < pauseMs) {
      return Optional.empty();
    }
    if (worker.missedReports > 0) {
      // The worker does not reply, so a request that reaches it late must not extend its lease.
      return Optional.of(new Renewal(worker.id, -1, 0, 0));
    }
    long leaseEndClockMs = worker.requestLease(settings.leaseMs(), nowMs);
    worker.onLeaseRenewalSent(nowMs);
    boolean isAckWithheld = worker.hasUnsentAcknowledgement() && acknowledgement == 0;
    boolean isAwaited =
        worker.ends.hasUnacknowledged()
            || mayHaveEarlierRuns
            || worker.needsSecondReport()
            || isAckWithheld;
    long waitMs = isAwaited ? 0 : MAX_REPORT_WAIT_MS;
    return Optional.of(new Renewal(worker.id, leaseEndClockMs, acknowledgement, waitMs));
  }
}
