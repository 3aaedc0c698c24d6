package org.laburnumarch.internal.fleet;

import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.Rendezvous;

/**
 * Selects the member that proposes a change, by rendezvous hashing.
 *
 * <p>This only avoids superfluous records. If two members propose the same change, the second
 * record is refused when it is applied.
 */
public final class Proposers {

  private Proposers() {}

  /** Returns whether a member is the proposer of changes to a subject, such as an instance id. */
  public static boolean isProposer(ControlState state, String memberId, String subject) {
    return Rendezvous.owner(state, subject).equals(memberId);
  }
}
