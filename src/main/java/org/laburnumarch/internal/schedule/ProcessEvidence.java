package org.laburnumarch.internal.schedule;

/**
 * What has shown whether a worker's process has ended. A refused connection shows nothing: a cut
 * path refuses connections to a process that is running, too. Only an answer of someone else does:
 * of another process at the worker's address, or of the platform, which lists its instances.
 */
final class ProcessEvidence {

  /**
   * Number of successive lists of instances without a worker that prove the end of its process. The
   * pages of one list are not a snapshot, so that a running worker may be missing from it.
   */
  private static final int ABSENCES_FOR_PROOF = 2;

  /** Time after which a list of instances that named an unreachable worker is read again. */
  private static final long RECHECK_NAMED_MS = 2_000;

  /**
   * Local time at which the request was sent whose answer showed last that the process has ended;
   * -1 if none has.
   */
  private long endShownAtMs = -1;

  /** Whether the address refused the last connection, so that the process may have ended. */
  private boolean refusesConnections;

  /** Number of successive lists of instances that did not name the worker. */
  private int absences;

  /** Local time before which no list of instances is needed, because the last one named it. */
  private long namedUntilMs = Long.MIN_VALUE / 2;

  /** Forgets everything, because the process has answered or is another one. */
  void reset() {
    endShownAtMs = -1;
    refusesConnections = false;
    absences = 0;
    namedUntilMs = Long.MIN_VALUE / 2;
  }

  /**
   * Records why the worker did not report.
   *
   * @param requestedAtMs local time at which the report was requested
   */
  void onReportFailed(ReportFailure failure, long requestedAtMs) {
    refusesConnections = failure == ReportFailure.CONNECTION_REFUSED;
    if (failure.showsEndOfProcess()) {
      onEndShown(requestedAtMs);
    }
  }

  /**
   * Records whether a complete list of instances names the worker.
   *
   * @param requestedAtMs local time at which the list was requested
   */
  void onInstancesListed(boolean isNamed, long requestedAtMs) {
    if (isNamed) {
      absences = 0;
      namedUntilMs = requestedAtMs + RECHECK_NAMED_MS;
      return;
    }
    absences++;
    if (absences >= ABSENCES_FOR_PROOF) {
      onEndShown(requestedAtMs);
    }
  }

  private void onEndShown(long requestedAtMs) {
    endShownAtMs = Math.max(endShownAtMs, requestedAtMs);
  }

  /**
   * Returns whether the list of instances may show that the process has ended. The list is long, so
   * it is not read for workers that do not answer at all: most of them are behind a cut.
   */
  boolean mayBeShownAsEnded(long nowMs) {
    return refusesConnections && nowMs >= namedUntilMs;
  }

  /** Returns whether the process is known to have ended. */
  boolean hasEnded() {
    return endShownAtMs >= 0;
  }

  /** Returns whether a request that was sent at a local time or later has shown its end. */
  boolean hasEndedAsShownSince(long sinceMs) {
    return hasEnded() && endShownAtMs >= sinceMs;
  }
}
