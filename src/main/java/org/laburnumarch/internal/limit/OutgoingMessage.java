package org.laburnumarch.internal.limit;

import org.laburnumarch.internal.peer.PeerMessage;

/** A message about allowance for one peer. */
public record OutgoingMessage(String memberId, PeerMessage message) {}
