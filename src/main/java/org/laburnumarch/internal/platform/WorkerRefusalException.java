package org.laburnumarch.internal.platform;

import org.laburnumarch.internal.schedule.OrderReply.Outcome;

/** A worker refused to report. */
public final class WorkerRefusalException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Outcome outcome;

  WorkerRefusalException(Outcome outcome) {
    super("the worker refused: " + outcome);
    this.outcome = outcome;
  }

  /** Returns why the worker refused. */
  public Outcome outcome() {
    return outcome;
  }
}
