package org.laburnumarch.internal.state;

/** Why a member was expelled. */
public enum ExpulsionReason {
  /** It was suspected and did not refute the suspicion in time; it may still be running. */
  SILENT(true),

  /**
   * Its process has ended: the platform no longer lists its instance and it is silent, or a later
   * incarnation runs on its instance.
   */
  GONE(false);

  private final boolean acknowledgementNeeded;

  ExpulsionReason(boolean acknowledgementNeeded) {
    this.acknowledgementNeeded = acknowledgementNeeded;
  }

  /**
   * Returns whether the member stays in the counting set until a majority has acknowledged its
   * departure. A process that has ended needs no acknowledgement: it cannot confirm to any peer
   * that the peer's state is fresh.
   */
  public boolean isAcknowledgementNeeded() {
    return acknowledgementNeeded;
  }
}
