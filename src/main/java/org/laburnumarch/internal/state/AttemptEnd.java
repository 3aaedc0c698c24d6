package org.laburnumarch.internal.state;

/** How an attempt ended. */
public enum AttemptEnd {
  /** It completed its work. */
  SUCCEEDED,

  /** It ended by itself without completing its work. */
  FAILED,

  /** The worker confirmed that it was stopped or checkpointed, or had never started. */
  STOPPED,

  /** Its lease has certainly expired; whether it completed its work is unknown. */
  LOST,

  /** It fits on no worker; only for a waiting task. */
  IMPOSSIBLE
}
