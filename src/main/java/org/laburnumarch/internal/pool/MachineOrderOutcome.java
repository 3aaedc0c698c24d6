package org.laburnumarch.internal.pool;

/** What became of an order to move or maintain an instance. */
public enum MachineOrderOutcome {
  /** The order has been carried out. */
  DONE,
  /** A daemon with a higher fencing token gives orders for this instance. */
  FENCED,
  /** The instance is busy or the service turned the call away; it may be repeated. */
  REFUSED,
  /** The order can never be carried out. */
  IMPOSSIBLE,
  /** No answer came; the order may have been carried out. */
  UNKNOWN
}
