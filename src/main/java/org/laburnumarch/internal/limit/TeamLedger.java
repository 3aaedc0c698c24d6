package org.laburnumarch.internal.limit;

import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * Tracks the units that this daemon holds and runs for one team.
 *
 * <p>held = base + received − sent. Units that a new split of the limit adds, or that are claimed
 * soon after it, are locked: a daemon that has not read the split may still run work with the units
 * that it held before, so the sum of both could exceed the old limit.
 */
final class TeamLedger {
  private static final long NOT_YET_MS = Long.MAX_VALUE;

  private final TreeMap<String, TransferCounter> counters = new TreeMap<>();
  private long epoch;
  private long baseUnits;
  private long runningUnits;
  private long lockedUnits;
  private boolean unlocked = true;
  private long unlockAtMs = NOT_YET_MS;

  TeamLedger(long epoch, long baseUnits, boolean isUnlocked) {
    this.epoch = epoch;
    this.baseUnits = baseUnits;
    this.unlocked = isUnlocked;
    this.lockedUnits = isUnlocked ? 0 : Math.max(0, baseUnits);
  }

  long epoch() {
    return epoch;
  }

  long runningUnits() {
    return runningUnits;
  }

  boolean isUnlocked() {
    return unlocked;
  }

  long heldUnits() {
    long held = baseUnits;
    for (TransferCounter counter : counters.values()) {
      held += counter.receivedUnits() - counter.sentUnits();
    }
    return held;
  }

  /** Returns the held units that are not locked; negative if more units are locked than held. */
  long usableUnits() {
    return heldUnits() - lockedUnits;
  }

  long spareUnits() {
    return Math.max(0, usableUnits() - runningUnits);
  }

  /** Applies the base units of a later state of the same epoch. */
  void updateBase(long newBaseUnits, Set<String> knownMembers) {
    long heldBefore = heldUnits();
    counters.keySet().retainAll(knownMembers);
    baseUnits = newBaseUnits;
    if (!unlocked) {
      lockedUnits += Math.max(0, heldUnits() - heldBefore);
    }
  }

  /** Starts a new split of the limit; transfers of the previous one no longer count. */
  void startEpoch(long newEpoch, long newBaseUnits) {
    long unlockedUnits = Math.max(0, usableUnits());
    counters.clear();
    epoch = newEpoch;
    baseUnits = newBaseUnits;
    lockedUnits = Math.max(0, newBaseUnits - unlockedUnits);
    unlocked = false;
    unlockAtMs = NOT_YET_MS;
  }

  /** Unlocks the units {@code waitMs} after the first call, when no daemon uses an older split. */
  void unlockAfter(long nowMs, long waitMs) {
    if (unlockAtMs == NOT_YET_MS) {
      unlockAtMs = nowMs + waitMs;
    }
    if (!unlocked && nowMs >= unlockAtMs) {
      unlocked = true;
      lockedUnits = 0;
    }
  }

  boolean acquire(long reservedUnits) {
    if (runningUnits >= usableUnits() - reservedUnits) {
      return false;
    }
    runningUnits++;
    return true;
  }

  boolean release() {
    if (runningUnits <= 0) {
      return false;
    }
    runningUnits--;
    return true;
  }

  /** Debits this daemon and returns the new cumulative total sent to the peer. */
  long send(String peerId, long units, long nowMs) {
    TransferCounter counter = counter(peerId);
    counter.addSent(units, nowMs);
    return counter.sentUnits();
  }

  /** Applies a cumulative total from a peer and returns how many units it added. */
  long receive(String peerId, long cumulativeUnits) {
    return counter(peerId).raiseReceivedTo(cumulativeUnits);
  }

  TransferCounter counter(String peerId) {
    return counters.computeIfAbsent(peerId, id -> new TransferCounter());
  }

  void forEachCounter(BiConsumer<String, TransferCounter> action) {
    counters.forEach(action);
  }
}
