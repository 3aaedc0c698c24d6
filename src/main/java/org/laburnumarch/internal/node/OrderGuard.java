package org.laburnumarch.internal.node;

import java.util.Optional;
import org.laburnumarch.internal.lead.OwnerRecord;

/**
 * Decides which orders for instances an owner may send. Orders of two owners are told apart by
 * their fencing tokens, but each owner counts the instances of a wave by itself, so an order of the
 * earlier owner that the next one does not see could exceed the wave's limit.
 */
final class OrderGuard {

  /**
   * Age of the ownership's renewal up to which an owner sends orders, and time after a takeover
   * before the next owner starts maintenance.
   */
  private static final long GUARD_MS = 1_200;

  /** What an owner may order. */
  enum Permission {
    NOTHING,

    /** Moves only: two moves of one instance are ordered by their tokens, and no limit counts. */
    MOVES,
    ALL
  }

  private final long takenOverAtMs;
  private final boolean hadEarlierOwner;
  private boolean isEarlierOwnerStopped;

  /**
   * Creates a guard.
   *
   * @param takenOverAtMs local time of the takeover
   * @param earlier the newest record of the earlier owner, if there was one
   */
  OrderGuard(long takenOverAtMs, Optional<OwnerRecord> earlier) {
    this.takenOverAtMs = takenOverAtMs;
    this.hadEarlierOwner = earlier.isPresent();
    this.isEarlierOwnerStopped = earlier.map(OwnerRecord::isReleased).orElse(false);
  }

  /** Records that the earlier owner has certainly stopped sending orders. */
  void onEarlierOwnerStopped() {
    isEarlierOwnerStopped = true;
  }

  /**
   * Returns what may be ordered now.
   *
   * @param renewalAgeMs age of the last stored renewal of this ownership
   */
  Permission permission(long nowMs, long renewalAgeMs) {
    if (renewalAgeMs > GUARD_MS) {
      return Permission.NOTHING;
    }
    if (!hadEarlierOwner || nowMs - takenOverAtMs >= GUARD_MS) {
      return Permission.ALL;
    }
    return isEarlierOwnerStopped ? Permission.MOVES : Permission.NOTHING;
  }
}
