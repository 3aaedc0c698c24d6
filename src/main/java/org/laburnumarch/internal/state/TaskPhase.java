package org.laburnumarch.internal.state;

/** The phase of a task; all phases other than the first two are final results. */
public enum TaskPhase {
  WAITING,
  STARTED,
  SUCCEEDED,
  /** It failed on several distinct workers. */
  PARKED,
  CANCELLED,
  /** It fits on no worker. */
  IMPOSSIBLE;

  /** Returns whether the task has its final result. */
  public boolean isFinal() {
    return this != WAITING && this != STARTED;
  }
}
