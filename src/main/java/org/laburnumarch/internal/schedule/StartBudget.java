package org.laburnumarch.internal.schedule;

import org.laburnumarch.internal.pacing.StartLimits;

/**
 * The number of starts that one decision may order, so that each of them can be sent at once. Load:
 * a backlog of tasks with free workers that is larger than what the owner's link carries.
 */
final class StartBudget {

  private final StartLimits limits;
  private int remaining;
  private boolean isHeld;

  StartBudget(StartLimits limits, long nowMs) {
    this.limits = limits;
    this.remaining = limits.startsAllowed(nowMs);
  }

  /**
   * Takes the given number of starts, all or none. More than remain are taken if half of the limit
   * remains, since a gang may be larger than the limit. After a refusal nothing is granted, so that
   * less urgent starts do not delay a gang for ever.
   */
  boolean tryTake(int starts) {
    boolean isGranted =
        !isHeld && (starts <= remaining || (starts > 1 && remaining > limits.startLimit() / 2));
    if (isGranted) {
      remaining -= starts;
    } else if (!isHeld) {
      isHeld = true;
      limits.onStartsHeld();
    }
    return isGranted;
  }

  /** Returns whether a start has been refused, so that nothing more can be ordered. */
  boolean isHeld() {
    return isHeld;
  }
}
