package org.laburnumarch.internal.schedule;

/** How a run ended. */
public enum EndKind {
  /** The task has done its work. */
  DONE,
  /** The run failed, by its own fault or the worker's. */
  FAILED,
  /** The run was stopped by an order. */
  STOPPED,
  /** The worker's lease ran out. */
  LAPSED,
  /** Another member of the gang ended. */
  BROKEN,
  /** The other members of the gang did not come in time. */
  ALONE
}
