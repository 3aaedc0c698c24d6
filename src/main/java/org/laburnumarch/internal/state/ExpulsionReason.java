package org.laburnumarch.internal.state;

/** Why a member was expelled. */
public enum ExpulsionReason {
  /** It was suspected and did not refute the suspicion in time; it may still be running. */
  SILENT(true),

  /** The platform no longer reports its instance, and no peer has heard from it. */
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
