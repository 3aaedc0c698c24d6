package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import java.util.Optional;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.TextChecker;
import org.laburnumarch.spi.LogRecord;

/** Applies records of the control log; the same records give the same state on every daemon. */
public final class ControlStateMachine {

  /** Bounds the verdicts that the state remembers. */
  private static final int MAX_MESSAGE_LENGTH = 500;

  private final Judges judges;

  /** Creates a machine that checks texts with {@code checker}. */
  public ControlStateMachine(TextChecker checker) {
    this.judges = new Judges(checker);
  }

  /**
   * Judges the record at {@code state.nextOffset()} and returns the state after it.
   *
   * @throws IllegalArgumentException if the record has another offset
   */
  public Applied apply(ControlState state, LogRecord record) {
    return apply(state, record, RecordCodec.decode(record.data()));
  }

  /** As {@link #apply(ControlState, LogRecord)}, for a record that is decoded already. */
  public Applied apply(ControlState state, LogRecord record, Either<Refusal, Envelope> decoded) {
    if (record.offset() != state.nextOffset()) {
      throw new IllegalArgumentException(
          "record " + record.offset() + " cannot follow a state at " + state.nextOffset());
    }
    long logTimeEpochMs = Math.max(state.logTimeEpochMs(), record.appendedAtEpochMs());
    ControlState advanced = state.at(record.offset() + 1, logTimeEpochMs);
    return decoded.fold(
        refusal -> new Applied(advanced, verdict(advanced, record, "", Optional.of(refusal))),
        envelope -> applyOnce(advanced, record, envelope));
  }

  private Applied applyOnce(ControlState state, LogRecord record, Envelope envelope) {
    String operationId = envelope.operationId();
    var first = state.operations().get(operationId);
    if (first.isDefined()) {
      Refusal refusal =
          Refusal.of(
              ResultCode.DUPLICATE_OPERATION,
              "operation %s was judged at offset %d already; that verdict stands"
                  .formatted(operationId, first.get().offset()));
      return new Applied(state, verdict(state, record, operationId, Optional.of(refusal)));
    }
    RecordContext context = new RecordContext(record.offset(), state.logTimeEpochMs());
    Either<Refusal, ControlState> judged =
        judgeSafely(state, envelope.body(), context)
            .map(after -> TaskTables.fenceMembership(state, after, context.offset()))
            .flatMap(after -> Invariants.check(state, after));
    ControlState after = judged.getOrElse(state);
    Optional<Refusal> refusal =
        judged.isLeft() ? Optional.of(shortened(judged.getLeft())) : Optional.<Refusal>empty();
    Verdict verdict = verdict(after, record, operationId, refusal);
    ControlState audited = AuditTrail.record(after, envelope, verdict, state.textVersion());
    return new Applied(OperationLedger.remember(audited, verdict), verdict);
  }

  /** A fault in a judge must not stop every daemon at the same record. */
  private Either<Refusal, ControlState> judgeSafely(
      ControlState state, RecordBody body, RecordContext context) {
    try {
      return judges.judge(state, body, context);
    } catch (RuntimeException e) {
      return Judge.refuse(
          ResultCode.INTERNAL_ERROR,
          "the record at offset %d could not be judged (%s); report this fault"
              .formatted(context.offset(), e.getClass().getSimpleName()));
    }
  }

  private static Refusal shortened(Refusal refusal) {
    return refusal.message().length() <= MAX_MESSAGE_LENGTH
        ? refusal
        : new Refusal(
            refusal.code(),
            refusal.message().substring(0, MAX_MESSAGE_LENGTH),
            refusal.retryAfterMs());
  }

  private static Verdict verdict(
      ControlState state, LogRecord record, String operationId, Optional<Refusal> refusal) {
    return new Verdict(record.offset(), operationId, refusal, state.textVersion());
  }
}
