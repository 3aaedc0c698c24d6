package org.laburnumarch.internal.log;

import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.MemberEntry;

/**
 * Decides when a snapshot is due, by the number of records since the last one or by its age.
 *
 * <p>Daemons are staggered by seat, so that usually only one of them takes the snapshot.
 */
final class SnapshotSchedule {

  static final int MAX_RECORDS = 2_000;
  static final int RECORDS_PER_SEAT = 100;

  /** Time after which a requested snapshot that is not in the log is requested again. */
  static final long RETRY_MS = 30_000;

  private final long retentionMs;
  private long throughOffset = -1;
  private long readAtMs;
  private long appendedAtEpochMs;
  private boolean isStarted;
  private long requestedAtMs;
  private boolean isRequested;

  SnapshotSchedule(long retentionMs) {
    this.retentionMs = retentionMs;
  }

  /** Records the first state; no snapshot is due before. */
  void onFirstState(ControlState state, long nowMs) {
    if (!isStarted) {
      isStarted = true;
      readAtMs = nowMs;
      appendedAtEpochMs = state.logTimeEpochMs();
      throughOffset = state.nextOffset() - 1;
    }
  }

  /** Records a snapshot that was read from the log. */
  void onSnapshotRead(long newThroughOffset, long newAppendedAtEpochMs, long nowMs) {
    isStarted = true;
    throughOffset = Math.max(throughOffset, newThroughOffset);
    appendedAtEpochMs = newAppendedAtEpochMs;
    readAtMs = nowMs;
    isRequested = false;
  }

  /** Returns whether this daemon has to take a snapshot now, and records the request if so. */
  boolean isDue(ControlState state, int seat, long nowMs) {
    if (!isStarted || seat == MemberEntry.NO_SEAT || state.nextOffset() == 0) {
      return false;
    }
    if (isRequested && nowMs - requestedAtMs < RETRY_MS) {
      return false;
    }
    boolean isDue = isCountReached(state, seat) || isAgeReached(state, seat, nowMs);
    if (isDue) {
      isRequested = true;
      requestedAtMs = nowMs;
    }
    return isDue;
  }

  private boolean isCountReached(ControlState state, int seat) {
    return state.nextOffset() - 1 - throughOffset > MAX_RECORDS + (long) RECORDS_PER_SEAT * seat;
  }

  private boolean isAgeReached(ControlState state, int seat, long nowMs) {
    long ageMs = Math.max(nowMs - readAtMs, state.logTimeEpochMs() - appendedAtEpochMs);
    long staggerMs = Math.min(seat * (retentionMs / 100), retentionMs / 4);
    return ageMs > retentionMs / 4 + staggerMs;
  }
}
