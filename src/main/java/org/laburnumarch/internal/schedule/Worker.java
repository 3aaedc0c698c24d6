package org.laburnumarch.internal.schedule;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.pacing.StartLimits;

/** A worker, its current incarnation as far as known, and the runs that it may have. */
final class Worker {

  /**
   * Time after which any run that a new incarnation may have started has lost its lease, if that
   * incarnation has not reported. Workers grant leases of at most 6 s, and orders may arrive
   * seconds late.
   */
  private static final long UNKNOWN_INCARNATION_MS = 18_000;

  /** Lowest speed of a steady clock relative to real time. */
  static final double SLOWEST_CLOCK = 0.98;

  /** Number of runs by which a worker's speed is judged; one long task in five is outvoted. */
  private static final int DEVIATIONS = 5;

  final String id;
  WorkerListing listing;

  /** Whether the registry currently lists the worker. */
  boolean isListed = true;

  /**
   * Whether its process has ended, because the platform has accepted to move or maintain its
   * instance. The registry may list it for some seconds more.
   */
  boolean isTerminated;

  /** Local time from which a worker that counts as terminated and is still listed is used again. */
  long terminatedUntilMs;

  /** Whether it has reported under this owner's term, and so rejects orders of earlier owners. */
  boolean isFenced;

  /**
   * Local time at which the first report of its known incarnation arrived under this owner's term;
   * -1 if none has.
   */
  private long firstReportAtMs = -1;

  /** Local time at which the newest report was requested; -1 if there is none. */
  long reportRequestedAtMs = -1;

  /** Whether a report of its known incarnation has listed all ends under this owner's term. */
  boolean hasListedAllEnds;

  /**
   * Whether it has shown all its runs under this owner's term, so that it has none of an earlier
   * owner that this owner does not know of.
   */
  boolean hasListedAllRuns;

  /** Local time from which no run of an earlier owner can be going on there. */
  long earlierRunsOverAtMs = Long.MAX_VALUE;

  /** Whether its first report under this owner's term has been requested and is awaited. */
  boolean isFirstReportAwaited;

  /** Whether the stored enrolment includes the worker; nothing starts there before. */
  boolean isEnrolled;

  /** Whether no new task may start because the instance is to be moved or maintained. */
  boolean isCordoned;

  /** When its incarnation began, by its own clock, in Unix milliseconds; 0 while unknown. */
  long startedEpochMs;

  /**
   * The beginning of the incarnation before the known one, if it is the later of the two because
   * the wall clock was set back in between; 0 otherwise.
   */
  private long replacedStartedEpochMs;

  /**
   * Local time at which the known incarnation was last shown. It, or a later one, answers what is
   * sent after that.
   */
  long incarnationShownAtMs = Long.MIN_VALUE;

  private long clockReadingMs = -1;
  private long clockReadAtMs;

  /**
   * Latest local time at which the process of the known incarnation was certainly running; {@link
   * Long#MIN_VALUE} if it has not reported.
   */
  private long aliveAtMs = Long.MIN_VALUE;

  /** Reading of its clock at that time or later. */
  private long aliveClockMs;

  /**
   * Local time after which an incarnation without a clock reading has no runs under a valid lease.
   */
  private long unknownIncarnationOverAtMs;

  /** Latest end of a lease that the worker may have granted, on its clock. */
  long leaseEndClockMs = -1;

  /** Latest local time at which a request of a lease is known to have been under way. */
  long leaseRequestedAtMs = Long.MIN_VALUE / 2;

  /**
   * Local time until which the worker may have a lease that was requested of an earlier incarnation
   * and reached this one late. The time that it names lies far ahead on the new clock.
   */
  private long earlierLeasesOverAtMs = Long.MIN_VALUE;

  /**
   * Local time until which a later incarnation than the known one may have a lease by a call that
   * got no answer. The call may have reached that incarnation and may be executed seconds later.
   */
  private long strayLeasesOverAtMs = Long.MIN_VALUE / 2;

  /** Local time at which the last such call was given up. */
  private long strayCallGivenUpAtMs = Long.MIN_VALUE / 2;

  /** Local time at which a renewal of leases was sent that is not settled; -1 if there is none. */
  private long unsettledRenewalAtMs = -1;

  /** Highest acknowledgement that was sent in a renewal. */
  long sentAcknowledgement;

  /** The ends that its current incarnation has reported. */
  ReportedEnds ends = new ReportedEnds();

  /** All runs that may be going on there, by task name and run number. */
  final Map<String, Attempt> attempts = new LinkedHashMap<>();

  private final Map<Step, Integer> runsByStep = new HashMap<>();

  Resources reserved = Resources.NONE;
  private int isolatedRuns;
  int ordersInFlight;

  /** Maximum number of pending start orders. */
  int maxOrdersInFlight = StartLimits.INITIAL_STARTS_PER_WORKER;

  /** Number of consecutive missed reports. */
  int missedReports;

  /** Local time of the first of these. */
  long lostAtMs;

  final ProcessEvidence process = new ProcessEvidence();

  /** Local time at which the last report arrived or was given up as missed. */
  long lastReportAttemptMs;

  /** Local time before which nothing starts there, after refusals. */
  long blockedUntilMs;

  final WorkerHealth health = new WorkerHealth();

  /** Logarithms of the ratios of actual to predicted run times of the newest runs. */
  final MovingMedian deviations = new MovingMedian(DEVIATIONS);

  Worker(WorkerListing listing) {
    this.id = listing.id();
    this.listing = listing;
  }

  static String attemptKey(String taskName, long run) {
    return taskName + '#' + run;
  }

  void add(Attempt attempt) {
    attempts.put(attemptKey(attempt.task.key.wireName(), attempt.run), attempt);
    runsByStep.merge(attempt.task.step, 1, Integer::sum);
    reserved = reserved.plus(attempt.reserved);
    isolatedRuns += attempt.isIsolated ? 1 : 0;
  }

  boolean remove(Attempt attempt) {
    boolean isRemoved =
        attempts.remove(attemptKey(attempt.task.key.wireName(), attempt.run), attempt);
    if (isRemoved) {
      runsByStep.computeIfPresent(
          attempt.task.step, (step, count) -> count == 1 ? null : count - 1);
      reserved = reserved.minus(attempt.reserved);
      isolatedRuns -= attempt.isIsolated ? 1 : 0;
    }
    return isRemoved;
  }

  /** Returns whether tasks may start there, regardless of its runs and of its recent refusals. */
  boolean acceptsTasks() {
    return isListed
        && isFenced
        && isEnrolled
        && !isCordoned
        && !listing.isDraining()
        && missedReports == 0;
  }

  /** Returns the number of runs of a step's tasks that may be going on there. */
  int countRuns(Step step) {
    return runsByStep.getOrDefault(step, 0);
  }

  int longRunningCount() {
    int count = 0;
    for (Attempt attempt : attempts.values()) {
      if (attempt.task.step.spec.isLongRunning()) {
        count++;
      }
    }
    return count;
  }

  /** Returns whether a task that may crash workers runs here, so that nothing else may start. */
  boolean hasIsolatedRun() {
    return isolatedRuns > 0;
  }

  /** Lets other tasks start beside a run. */
  void endIsolation(Attempt attempt) {
    isolatedRuns -= attempt.isIsolated ? 1 : 0;
    attempt.isIsolated = false;
  }

  /** Returns the number of runs that may still crash the worker by being started. */
  int newRunCount() {
    int count = 0;
    for (Attempt attempt : attempts.values()) {
      count += attempt.hasSurvivedStart ? 0 : 1;
    }
    return count;
  }

  /** Returns whether any run that may crash the worker by being started belongs to a suspect. */
  boolean hasNewSuspect() {
    return attempts.values().stream()
        .anyMatch(attempt -> attempt.task.isSuspect && !attempt.hasSurvivedStart);
  }

  /** Returns whether ends may be acknowledged whose acknowledgement has not been sent. */
  boolean hasUnsentAcknowledgement() {
    return ends.acknowledged() > sentAcknowledgement;
  }

  /** Returns whether another report must show whether a run is over that the last one lacked. */
  boolean needsSecondReport() {
    return attempts.values().stream().anyMatch(Attempt::isAbsenceUnproved);
  }

  Resources freeCapacity() {
    return listing.capacity().minus(reserved);
  }

  /** Returns what long-running tasks leave of the capacity, without those that are to stop. */
  Resources capacityBesideLongRunningTasks() {
    Resources remaining = listing.capacity();
    for (Attempt attempt : attempts.values()) {
      if (attempt.task.step.spec.isLongRunning() && !attempt.isStopWanted()) {
        remaining = remaining.minus(attempt.reserved);
      }
    }
    return remaining;
  }

  /**
   * Resets all state that belongs to an earlier incarnation. Runs that remain registered may be
   * going on in the new one.
   */
  void resetIncarnation(long newStartedEpochMs, long nowMs) {
    replacedStartedEpochMs = newStartedEpochMs < startedEpochMs ? startedEpochMs : 0;
    startedEpochMs = newStartedEpochMs;
    incarnationShownAtMs = nowMs;
    isTerminated = false;
    unknownIncarnationOverAtMs = nowMs + UNKNOWN_INCARNATION_MS;
    if (leaseEndClockMs >= 0) {
      earlierLeasesOverAtMs = unknownIncarnationOverAtMs;
    }
    clockReadingMs = -1;
    aliveAtMs = Long.MIN_VALUE;
    leaseEndClockMs = -1;
    ends = new ReportedEnds();
    sentAcknowledgement = 0;
    isFenced = false;
    firstReportAtMs = -1;
    hasListedAllEnds = false;
    hasListedAllRuns = false;
    process.reset();
  }

  /**
   * Records that a report has arrived. One report does not show all runs: one that ends, or that an
   * order of an earlier owner starts, while its lists are taken may be in neither list.
   */
  void recordReport(boolean listsAllEnds, long requestedAtMs, long nowMs) {
    isFenced = true;
    reportRequestedAtMs = Math.max(reportRequestedAtMs, requestedAtMs);
    boolean isAfterFirst = firstReportAtMs >= 0 && requestedAtMs > firstReportAtMs;
    hasListedAllEnds |= listsAllEnds;
    hasListedAllRuns |= listsAllEnds && isAfterFirst;
    if (firstReportAtMs < 0) {
      firstReportAtMs = nowMs;
    }
  }

  /** Records that a renewal of leases is sent. */
  void onLeaseRenewalSent(long nowMs) {
    unsettledRenewalAtMs = nowMs;
  }

  /**
   * Records that a report has arrived. If the known incarnation goes on after an unanswered call
   * was given up, no later one existed that could have received the call.
   */
  void onReportArrived(long requestedAtMs) {
    if (requestedAtMs >= unsettledRenewalAtMs) {
      unsettledRenewalAtMs = -1;
    }
    if (requestedAtMs >= strayCallGivenUpAtMs) {
      strayLeasesOverAtMs = Long.MIN_VALUE / 2;
    }
  }

  /**
   * Records that a request for a report was given up.
   *
   * @param connectedAtMs local time by which its connection was made; {@link Long#MIN_VALUE} if the
   *     request has certainly renewed no lease
   */
  void onReportUnanswered(long requestedAtMs, long connectedAtMs, long nowMs) {
    boolean mayHaveRenewed = connectedAtMs != Long.MIN_VALUE;
    if (mayHaveRenewed && unsettledRenewalAtMs >= 0 && requestedAtMs >= unsettledRenewalAtMs) {
      unsettledRenewalAtMs = -1;
      onLeaseUnanswered(connectedAtMs, nowMs);
    }
  }

  /**
   * Records that a call which requests a lease was given up. A connection that was made while the
   * known incarnation was running ends with it, so the call cannot reach a later one.
   *
   * @param connectedAtMs local time by which its connection was made
   */
  void onLeaseUnanswered(long connectedAtMs, long nowMs) {
    if (connectedAtMs > aliveAtMs) {
      strayCallGivenUpAtMs = nowMs;
      strayLeasesOverAtMs = nowMs + UNKNOWN_INCARNATION_MS;
    }
  }

  RunLocations.Incarnation incarnation() {
    return new RunLocations.Incarnation(id, startedEpochMs);
  }

  /** Returns whether an incarnation has ended although it seems later than the known one. */
  boolean hasReplaced(long otherStartedEpochMs) {
    return otherStartedEpochMs != 0 && otherStartedEpochMs == replacedStartedEpochMs;
  }

  boolean hasClock() {
    return clockReadingMs >= 0;
  }

  /** Records a reading of the worker's clock; a reading not above the last one is ignored. */
  void recordClock(long workerClockMs, long nowMs) {
    if (workerClockMs > clockReadingMs) {
      clockReadingMs = workerClockMs;
      clockReadAtMs = nowMs;
    }
  }

  /**
   * Records that the process of the known incarnation was running when it read its clock. A report
   * may have waited at the worker and on its way, so the process may have ended before the report
   * arrives. At least as much time has passed as the worker's clock has advanced, since that clock
   * may only be slow.
   */
  void recordAlive(long workerClockMs, long requestedAtMs) {
    long readAtMs = requestedAtMs;
    if (aliveAtMs != Long.MIN_VALUE) {
      readAtMs = Math.max(readAtMs, aliveAtMs + workerClockMs - aliveClockMs);
    }
    if (readAtMs > aliveAtMs) {
      aliveAtMs = readAtMs;
      aliveClockMs = workerClockMs;
    }
  }

  /** Returns whether the process of the known incarnation was running a limited time ago. */
  boolean wasAliveWithin(long durationMs, long nowMs) {
    return aliveAtMs >= nowMs - durationMs;
  }

  /**
   * Returns whether only the known incarnation can have read its clock so now: a later one began
   * some time after the last sign of the known one, with its clock at 0.
   */
  boolean isClockOfKnownIncarnation(long workerClockMs, long nowMs) {
    return aliveAtMs != Long.MIN_VALUE && workerClockMs >= nowMs - aliveAtMs;
  }

  /** Returns a lower bound of the worker's clock, apart from clock drift. */
  long clockMs(long nowMs) {
    return clockReadingMs + (nowMs - clockReadAtMs);
  }

  /**
   * Returns the lowest reading that the worker's clock can have had at a local time, also before
   * the last reading arrived; -1 if its clock has not been read.
   */
  long earliestClockMs(long atMs) {
    if (!hasClock()) {
      return -1;
    }
    double rate = atMs >= clockReadAtMs ? SLOWEST_CLOCK : 1 / SLOWEST_CLOCK;
    return clockReadingMs + (long) Math.floor((atMs - clockReadAtMs) * rate);
  }

  /** Returns the time since its clock was last read. */
  long clockAgeMs(long nowMs) {
    return hasClock() ? nowMs - clockReadAtMs : 0;
  }

  /**
   * Sets the end of a lease that is about to be requested, and returns it. The lease lasts at most
   * the requested time on the worker's clock, however slow that is, because a later owner waits no
   * longer.
   */
  long requestLease(long leaseMs, long nowMs) {
    long endClockMs = earliestClockMs(nowMs) + leaseMs;
    leaseEndClockMs = Math.max(leaseEndClockMs, endClockMs);
    leaseRequestedAtMs = Math.max(leaseRequestedAtMs, nowMs);
    return endClockMs;
  }

  /**
   * Returns whether all runs of a worker whose process has ended count as over. A lease that the
   * process got by a late order to an earlier incarnation has ended with it.
   */
  boolean isOverAfterEnd(long nowMs) {
    return hasLeft() || nowMs >= (hasClock() ? requestedLeasesExpireAtMs() : leasesExpireAtMs());
  }

  /** Returns whether every lease of the known incarnation has certainly expired. */
  boolean isLeaseExpired(long nowMs) {
    return nowMs >= leasesExpireAtMs();
  }

  /**
   * Returns the local time from which a run there has certainly lost its lease. A run that no
   * report has listed may be one of a later incarnation than the known one, and that may have
   * granted any lease on orders that were meant for the known one, also some time after these were
   * given up.
   */
  long expiresAtMs(Attempt attempt, SchedulerSettings settings) {
    if (attempt.isListed) {
      return leasesExpireAtMs();
    }
    long expiresAtMs = Math.max(leasesExpireAtMs(), leaseRequestedAtMs + settings.longestLeaseMs());
    return attempt.isConfirmedByKnownIncarnation
        ? expiresAtMs
        : Math.max(expiresAtMs, strayLeasesOverAtMs);
  }

  /** Returns the local time from which all runs there have certainly lost their leases. */
  long runsExpireAtMs(SchedulerSettings settings) {
    return attempts.values().stream()
        .mapToLong(attempt -> expiresAtMs(attempt, settings))
        .max()
        .orElse(Long.MIN_VALUE / 2);
  }

  /** Returns whether the worker's process has ended after it had announced its shutdown. */
  boolean hasLeft() {
    return process.hasEnded() && !isListed && listing.isDraining();
  }

  /** Returns the local time from which every lease of the known incarnation has expired. */
  long leasesExpireAtMs() {
    if (!hasClock()) {
      return attempts.isEmpty() ? Long.MIN_VALUE : unknownIncarnationOverAtMs + 1;
    }
    return Math.max(requestedLeasesExpireAtMs(), earlierLeasesOverAtMs);
  }

  /** Returns the same, without leases that were requested of an earlier incarnation. */
  private long requestedLeasesExpireAtMs() {
    return clockReadAtMs
        + (long) Math.floor((leaseEndClockMs - clockReadingMs) / SLOWEST_CLOCK)
        + 1;
  }
}
