package org.laburnumarch.internal.node;

import java.util.Optional;
import org.laburnumarch.internal.lead.OwnerRecord;
import org.laburnumarch.internal.link.LinkMessage.Heartbeat;

/** What a daemon's heartbeat tells a new owner about the owner before it. */
enum EarlierOwnerState {
  /** The daemon was not the owner. */
  OTHER_DAEMON,

  /** The daemon was the owner and does not know yet that it no longer is. */
  STILL_OWNER,

  /** The daemon was the owner, and gives no more orders. */
  STOPPED;

  /**
   * Judges a heartbeat.
   *
   * @param daemon name of the daemon that sent it
   * @param earlier the newest record of the earlier owner, if there was one
   */
  static EarlierOwnerState of(String daemon, Heartbeat heartbeat, Optional<OwnerRecord> earlier) {
    if (earlier.isEmpty() || !earlier.get().holder().startsWith(daemon + '/')) {
      return OTHER_DAEMON;
    }
    boolean isSameProcess = heartbeat.holder().equals(earlier.get().holder());
    return isSameProcess && heartbeat.term() == earlier.get().term() ? STILL_OWNER : STOPPED;
  }
}
