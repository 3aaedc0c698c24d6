package org.laburnumarch.internal.routing;

/** Whether a minion may get new requests. */
public enum MinionState {
  AVAILABLE(true),

  /** Its last requests failed; it is probed at growing intervals. */
  FAILING(false),

  /** It is shutting down, according to the instance list or its own responses. */
  LEAVING(false),

  /** It is in maintenance, or its maintenance failed. */
  DRAINED(false),

  /** The instance list does not contain it. */
  NOT_LISTED(false),

  /** Its data centre is out of service. */
  DATA_CENTRE_OUT(false);

  private final boolean usable;

  MinionState(boolean usable) {
    this.usable = usable;
  }

  /** Returns whether new requests may go to it. */
  public boolean isUsable() {
    return usable;
  }
}
