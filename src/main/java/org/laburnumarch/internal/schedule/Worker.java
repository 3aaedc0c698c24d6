package org.laburnumarch.internal.schedule;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.laburnumarch.internal.job.Resources;

/** One incarnation of a worker and what is known of it. */
final class Worker {

  /** An end that may be acknowledged once its record is stored. */
  private record UnacknowledgedEnd(long number, long changeNumber) {}

  /**
   * Time after which a run that a new life of the worker may have begun has lost its lease, if
   * nothing was heard of that life. The platform grants 6 s; orders may arrive seconds late.
   */
  private static final long UNKNOWN_LIFE_MS = 18_000;

  /** Steady clocks may run this much slower than real time. */
  private static final double SLOWEST_CLOCK = 0.98;

  final String id;
  WorkerListing listing;

  /** Whether the registry has an entry now. */
  boolean isListed = true;

  /** Whether it has reported under this owner's term, so that no earlier owner can order it. */
  boolean isFenced;

  /** Whether the set of workers that is stored names it; nothing starts there before. */
  boolean isEnrolled;

  /** Whether no new task may start because the instance is to move or go into maintenance. */
  boolean isCordoned;

  /** Start of its life as it says itself; 0 while unknown. */
  long startedEpochMs;

  private long clockReadingMs = -1;
  private long clockReadAtMs;

  /** Local time from which a life without a clock reading has surely ended what it was told. */
  private long unknownLifeOverAtMs;

  /** Latest lease end that any order has named, on the worker's clock. */
  long leaseEndClockMs = -1;

  long lastEndNumber;
  long acknowledgedEnd;

  /** Highest acknowledgement that a renewal has carried. */
  long sentAcknowledgement;

  private final Deque<UnacknowledgedEnd> unacknowledged = new ArrayDeque<>();

  /** All runs that may be going on there, by task name and run. */
  final Map<String, Attempt> attempts = new LinkedHashMap<>();

  Resources reserved = Resources.NONE;
  int ordersInFlight;

  /** Reports in a row that did not come. */
  int missedReports;

  /** Local time when the last report came, or was given up. */
  long lastReportTryMs;

  /** Local time before which nothing starts there, after refusals or failures. */
  long blockedUntilMs;

  final WorkerHealth health = new WorkerHealth();

  Worker(WorkerListing listing) {
    this.id = listing.id();
    this.listing = listing;
  }

  static String attemptKey(String taskName, long run) {
    return taskName + '#' + run;
  }

  void add(Attempt attempt) {
    attempts.put(attemptKey(attempt.task.key.wireName(), attempt.run), attempt);
    reserved = reserved.plus(attempt.reserved);
  }

  boolean remove(Attempt attempt) {
    boolean isRemoved =
        attempts.remove(attemptKey(attempt.task.key.wireName(), attempt.run), attempt);
    if (isRemoved) {
      reserved = reserved.minus(attempt.reserved);
    }
    return isRemoved;
  }

  int lastingRuns() {
    int count = 0;
    for (Attempt attempt : attempts.values()) {
      if (attempt.task.step.spec.isLongRunning()) {
        count++;
      }
    }
    return count;
  }

  Resources free() {
    return listing.capacity().minus(reserved);
  }

  /**
   * Forgets all that belongs to an earlier life of the worker. Runs that are left may be going on
   * in the new one.
   */
  void resetLife(long newStartedEpochMs, long nowMs) {
    startedEpochMs = newStartedEpochMs;
    unknownLifeOverAtMs = nowMs + UNKNOWN_LIFE_MS;
    clockReadingMs = -1;
    leaseEndClockMs = -1;
    lastEndNumber = 0;
    acknowledgedEnd = 0;
    sentAcknowledgement = 0;
    unacknowledged.clear();
    isFenced = false;
  }

  boolean hasClock() {
    return clockReadingMs >= 0;
  }

  /** Notes a reading of the worker's clock; older readings are ignored. */
  void readClock(long workerClockMs, long nowMs) {
    if (workerClockMs > clockReadingMs) {
      clockReadingMs = workerClockMs;
      clockReadAtMs = nowMs;
    }
  }

  /** Returns the worker's clock, not later than it really is but for its drift. */
  long clockMs(long nowMs) {
    return clockReadingMs + (nowMs - clockReadAtMs);
  }

  /** Returns whether every lease that was granted here has surely run out. */
  boolean isLeaseOver(long nowMs) {
    if (!hasClock()) {
      return attempts.isEmpty() || nowMs > unknownLifeOverAtMs;
    }
    double earliest = clockReadingMs + (nowMs - clockReadAtMs) * SLOWEST_CLOCK;
    return earliest > leaseEndClockMs;
  }

  /** Notes an end that has been dealt with; it may be acknowledged after the change is stored. */
  void noteEnd(long number, long changeNumber) {
    lastEndNumber = number;
    unacknowledged.addLast(new UnacknowledgedEnd(number, changeNumber));
  }

  /** Moves the acknowledgement up to what is stored. */
  void acknowledge(long storedChangeNumber) {
    while (!unacknowledged.isEmpty()
        && unacknowledged.peekFirst().changeNumber() <= storedChangeNumber) {
      acknowledgedEnd = unacknowledged.removeFirst().number();
    }
  }

  boolean hasUnacknowledgedEnds() {
    return !unacknowledged.isEmpty();
  }
}
