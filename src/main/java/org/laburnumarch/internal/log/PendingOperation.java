package org.laburnumarch.internal.log;

/** A submitted record whose result is not known yet. */
final class PendingOperation {

  /** Outcome of the last append of the record. */
  enum Stage {
    /** No response yet. */
    SENT,

    /** The log has confirmed the append. */
    IN_LOG,

    /** The append certainly had no effect. */
    NOT_IN_LOG,

    /** The append failed and may have had an effect. */
    OUTCOME_UNKNOWN
  }

  /** Value of {@link #requiredOffset} while the tail after the failed append is not known. */
  static final long TAIL_UNKNOWN = -1;

  final String operationId;
  final byte[] bytes;
  final long deadlineMs;

  Stage stage = Stage.SENT;
  long failedAtMs;

  /** The log's tail after the failed append; must be read before the record is appended again. */
  long requiredOffset = TAIL_UNKNOWN;

  /** Whether any append of the record may have taken effect. */
  boolean mayBeInLog;

  PendingOperation(String operationId, byte[] bytes, long deadlineMs) {
    this.operationId = operationId;
    this.bytes = bytes;
    this.deadlineMs = deadlineMs;
  }

  void failed(boolean mayHaveTakenEffect, long nowMs) {
    stage = mayHaveTakenEffect ? Stage.OUTCOME_UNKNOWN : Stage.NOT_IN_LOG;
    mayBeInLog |= mayHaveTakenEffect;
    failedAtMs = nowMs;
    requiredOffset = TAIL_UNKNOWN;
  }

  /** Records the tail seen by a read if the read was sent after the append failed. */
  void recordTail(long tailOffset, long readSentAtMs) {
    if (stage == Stage.OUTCOME_UNKNOWN
        && requiredOffset == TAIL_UNKNOWN
        && readSentAtMs >= failedAtMs) {
      requiredOffset = tailOffset;
    }
  }

  /** Returns whether the record may be appended again. */
  boolean isResendDue(long nextOffset, long nowMs, long retryMs) {
    boolean isAbsent =
        stage == Stage.NOT_IN_LOG
            || (stage == Stage.OUTCOME_UNKNOWN
                && requiredOffset != TAIL_UNKNOWN
                && nextOffset >= requiredOffset);
    return isAbsent && nowMs - failedAtMs >= retryMs;
  }
}
