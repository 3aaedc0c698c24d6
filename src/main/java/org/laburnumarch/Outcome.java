package org.laburnumarch;

/** What a caller may conclude from a result code. */
public enum Outcome {
  /** The request was carried out and its complete response was delivered. */
  DONE(0),

  /** The request was refused before any part of it was carried out; it may be repeated safely. */
  NOT_RUN(3),

  /** The request may or may not have been carried out; only an idempotent one may be repeated. */
  UNKNOWN(4),

  /** The input is invalid and has to be corrected before it is sent again. */
  INVALID(2),

  /** The program detected a violation of one of its own invariants and refused the step. */
  BREACH(5);

  private final int exitStatus;

  Outcome(int exitStatus) {
    this.exitStatus = exitStatus;
  }

  /** Returns the process exit status that a command with this outcome ends with. */
  public int exitStatus() {
    return exitStatus;
  }
}
