package org.laburnumarch.internal.pool;

/** The outcome of an order to move or maintain an instance. */
public enum MachineOrderOutcome {
  /** The order has been carried out. */
  DONE,
  /** Another daemon has sent an order for this instance with a higher fencing token. */
  FENCED,
  /** The instance is busy or the service rejected the call; the order may be repeated. */
  REFUSED,
  /** The order can never be carried out. */
  IMPOSSIBLE,
  /** No response arrived; the order may have been carried out. */
  UNKNOWN
}
