package org.laburnumarch.internal.membership;

import org.laburnumarch.Refusal;
import org.laburnumarch.internal.peer.PeerMessage;
import org.laburnumarch.internal.state.RecordBody;

/** An action that the daemon has to perform after a decision. */
public sealed interface MembershipEffect {

  /** Sends a message to a member; it may be lost. */
  record Send(String memberId, PeerMessage message) implements MembershipEffect {}

  /** Appends a record once to the control log. */
  record Append(RecordBody body) implements MembershipEffect {}

  /**
   * This incarnation has been expelled: end its in-flight work and create a new incarnation with a
   * new member id.
   */
  record Rejoin() implements MembershipEffect {}

  /** The process may exit; {@code isClean} if all its work has ended and it is no active member. */
  record ReadyToExit(boolean isClean) implements MembershipEffect {}

  /** An operation was refused because it would have violated an invariant. */
  record InvariantBreached(Refusal refusal) implements MembershipEffect {}
}
