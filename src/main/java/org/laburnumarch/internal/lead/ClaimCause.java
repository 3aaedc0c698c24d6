package org.laburnumarch.internal.lead;

import java.util.Optional;

/** Why a daemon has claimed the ownership. */
public enum ClaimCause {
  /** There was no owner before. */
  FIRST,
  /** The earlier owner has released the ownership to this daemon. */
  OFFERED,
  /** The earlier owner has released the ownership. */
  RELEASED,
  /** The earlier owner did not renew the ownership, or its process has ended. */
  SILENT;

  /**
   * Returns the cause of a claim.
   *
   * @param earlier the newest record of the earlier owner, if there was one
   * @param holder name of the process that claims
   */
  public static ClaimCause of(Optional<OwnerRecord> earlier, String holder) {
    if (earlier.isEmpty()) {
      return FIRST;
    }
    if (!earlier.get().isReleased()) {
      return SILENT;
    }
    return earlier.get().successor().equals(holder) ? OFFERED : RELEASED;
  }
}
