package org.laburnumarch.internal.entry;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Acquires and releases units of the teams' upper limits; guarded by the lock of the dispatcher.
 *
 * <p>A request that was sent and got no response may still run until its deadline, so its unit is
 * held until then.
 */
final class UnitTracker {
  private final DispatchGate gate;
  private final PriorityQueue<HeldUnit> heldUnits =
      new PriorityQueue<>(Comparator.comparingLong(HeldUnit::untilMs));

  UnitTracker(DispatchGate gate) {
    this.gate = gate;
  }

  boolean tryAcquire(String team) {
    return gate.tryAcquire(team);
  }

  void release(Attempt attempt) {
    if (attempt.holdsUnit()) {
      gate.release(attempt.caller().team());
    }
  }

  void releaseAtDeadline(Attempt attempt) {
    if (attempt.holdsUnit()) {
      heldUnits.add(new HeldUnit(attempt.caller().team(), attempt.caller().deadlineMs()));
    }
  }

  /** Releases the units whose deadline has passed; returns whether there were any. */
  boolean releaseDue(long nowMs) {
    boolean isAnyDue = false;
    while (!heldUnits.isEmpty() && heldUnits.peek().untilMs() <= nowMs) {
      gate.release(heldUnits.poll().team());
      isAnyDue = true;
    }
    return isAnyDue;
  }

  boolean isEmpty() {
    return heldUnits.isEmpty();
  }

  private record HeldUnit(String team, long untilMs) {}
}
