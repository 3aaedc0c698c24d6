package org.laburnumarch.internal.schedule;

/** Why a worker's report did not come. */
public enum ReportFailure {
  /** Nothing, or nothing that can be read, came back from the worker's address. */
  NO_ANSWER,

  /**
   * The address refused the connection. A cut path does that, too, while the worker behind it goes
   * on.
   */
  CONNECTION_REFUSED,

  /** Another process answered at the address, so the worker's own process has ended. */
  OTHER_PROCESS;

  /** Returns whether the worker's process has certainly ended. */
  boolean showsEndOfProcess() {
    return this == OTHER_PROCESS;
  }
}
