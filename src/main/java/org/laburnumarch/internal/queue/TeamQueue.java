package org.laburnumarch.internal.queue;

import java.util.ArrayDeque;

/** The queued requests of one team to one pool, with the team's virtual time there. */
final class TeamQueue<T> {
  /** Replaces a share of zero, so that charges stay finite. */
  private static final double MIN_SHARE = 0.001;

  private static final long NOT_BLOCKED = Long.MAX_VALUE;

  final ArrayDeque<QueuedRequest<T>> queued = new ArrayDeque<>();
  final SlotTime slotTime = new SlotTime();

  private TeamWeight weight;
  private double virtualMs;
  private int running;
  private long blockedSinceMs = NOT_BLOCKED;

  TeamQueue(TeamWeight weight) {
    this.weight = weight;
  }

  String team() {
    return weight.team();
  }

  TeamWeight weight() {
    return weight;
  }

  void setWeight(TeamWeight newWeight) {
    weight = newWeight;
  }

  double share() {
    return Math.max(MIN_SHARE, weight.shareFraction());
  }

  /**
   * Returns the team's virtual time: the slot time charged in milliseconds, divided by its share.
   */
  double virtualMs() {
    return virtualMs;
  }

  void raiseVirtualTimeTo(double minVirtualMs) {
    virtualMs = Math.max(virtualMs, minVirtualMs);
  }

  void charge(double slotMs) {
    virtualMs += slotMs / share();
  }

  int running() {
    return running;
  }

  void recordStart() {
    running++;
    unblock();
  }

  void recordEnd() {
    running--;
  }

  boolean isBacklogged() {
    return !queued.isEmpty();
  }

  boolean isBlocked() {
    return blockedSinceMs != NOT_BLOCKED;
  }

  void unblock() {
    blockedSinceMs = NOT_BLOCKED;
  }

  void block(long nowMs) {
    blockedSinceMs = Math.min(blockedSinceMs, nowMs);
  }

  long blockedForMs(long nowMs) {
    return isBlocked() ? nowMs - blockedSinceMs : 0;
  }
}
