package org.laburnumarch.internal.platform;

import org.laburnumarch.internal.schedule.OrderReply.Outcome;

/** Thrown when a worker refuses to report its runs. */
public final class WorkerRefusalException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Outcome outcome;

  WorkerRefusalException(Outcome outcome) {
    super("the worker refused to report: " + outcome);
    this.outcome = outcome;
  }

  /** Returns the reason for the refusal. */
  public Outcome outcome() {
    return outcome;
  }
}
