package org.laburnumarch.internal.state;

/** The status of a member between its joining and the reclaiming of its allowance. */
public enum MemberStatus {
  /** It has joined and has not departed. */
  ACTIVE(false),

  /** It reported that all its work has ended; its allowance is not reclaimed yet. */
  LEFT(true),

  /** It was expelled; it may still run work until the wait before reclaiming is over. */
  EXPELLED(true);

  private final boolean departed;

  MemberStatus(boolean departed) {
    this.departed = departed;
  }

  /** Returns whether the member has departed and may not start work any more. */
  public boolean isDeparted() {
    return departed;
  }
}
