package org.laburnumarch.internal.limit;

/** Cumulative units of one team moved between this daemon and one peer in one epoch. */
final class TransferCounter {
  private long sentUnits;
  private long receivedUnits;
  private long confirmedUnits;
  private long lastSentAtMs;

  long sentUnits() {
    return sentUnits;
  }

  long receivedUnits() {
    return receivedUnits;
  }

  boolean isEmpty() {
    return sentUnits == 0 && receivedUnits == 0;
  }

  void addSent(long units, long nowMs) {
    sentUnits += units;
    lastSentAtMs = nowMs;
  }

  /**
   * Applies a cumulative total and returns how many units it added; a duplicate or older total adds
   * none.
   */
  long raiseReceivedTo(long cumulativeUnits) {
    long added = Math.max(0, cumulativeUnits - receivedUnits);
    receivedUnits += added;
    return added;
  }

  void confirm(long cumulativeUnits) {
    confirmedUnits = Math.max(confirmedUnits, cumulativeUnits);
  }

  boolean isConfirmed() {
    return confirmedUnits >= sentUnits;
  }

  /** Returns whether to retransmit the total now, and if so restarts the interval. */
  boolean tryRetransmit(long nowMs, long intervalMs) {
    if (isConfirmed() || nowMs - lastSentAtMs < intervalMs) {
      return false;
    }
    lastSentAtMs = nowMs;
    return true;
  }
}
