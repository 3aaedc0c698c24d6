package org.laburnumarch.internal.schedule;

/** How a run ended. */
public enum EndKind {
  /** The task completed. */
  DONE,
  /** The run failed, because of the task or of the worker. */
  FAILED,
  /** The run was stopped by an order. */
  STOPPED,
  /** The worker's lease ran out. */
  LAPSED,
  /** Another run of the gang ended. */
  BROKEN,
  /** The other runs of the gang did not start in time. */
  ALONE
}
