package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import java.util.Optional;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.TextChecker;
import org.laburnumarch.spi.LogRecord;

/** Applies records of the control log; the same records give the same state on every daemon. */
public final class ControlStateMachine {

  /** Limits the length of the refusal messages that the state stores. */
  private static final int MAX_MESSAGE_LENGTH = 500;

  private final RecordValidators validators;

  /** Creates a state machine that checks configuration texts with {@code checker}. */
  public ControlStateMachine(TextChecker checker) {
    this.validators = new RecordValidators(checker);
  }

  /**
   * Validates and applies the record at {@code state.nextOffset()}, and returns the state after it.
   *
   * @throws IllegalArgumentException if the record has another offset
   */
  public ApplyResult apply(ControlState state, LogRecord record) {
    return apply(state, record, RecordCodec.decode(record.data()));
  }

  /** As {@link #apply(ControlState, LogRecord)}, for a record that has already been decoded. */
  public ApplyResult apply(
      ControlState state, LogRecord record, Either<Refusal, Envelope> decoded) {
    if (record.offset() != state.nextOffset()) {
      throw new IllegalArgumentException(
          "record "
              + record.offset()
              + " cannot be applied to a state at next offset "
              + state.nextOffset());
    }
    long logTimeEpochMs = Math.max(state.logTimeEpochMs(), record.appendedAtEpochMs());
    ControlState advanced = state.withNextOffset(record.offset() + 1, logTimeEpochMs);
    return decoded.fold(
        refusal -> new ApplyResult(advanced, result(advanced, record, "", Optional.of(refusal))),
        envelope -> applyOnce(advanced, record, envelope));
  }

  private ApplyResult applyOnce(ControlState state, LogRecord record, Envelope envelope) {
    String operationId = envelope.operationId();
    var earlier = state.operations().get(operationId);
    if (earlier.isDefined()) {
      Refusal refusal =
          Refusal.of(
              ResultCode.DUPLICATE_OPERATION,
              "operation %s was already applied or refused at offset %d; that result stands"
                  .formatted(operationId, earlier.get().offset()));
      return new ApplyResult(state, result(state, record, operationId, Optional.of(refusal)));
    }
    RecordContext context = new RecordContext(record.offset(), state.logTimeEpochMs());
    Either<Refusal, ControlState> validated =
        validateSafely(state, envelope.body(), context)
            .map(after -> TaskTables.updateMembershipOffset(state, after, context.offset()))
            .flatMap(after -> Invariants.check(state, after));
    ControlState after = validated.getOrElse(state);
    Optional<Refusal> refusal =
        validated.isLeft()
            ? Optional.of(truncated(validated.getLeft()))
            : Optional.<Refusal>empty();
    RecordResult result = result(after, record, operationId, refusal);
    ControlState audited = AuditTrail.record(after, envelope, result, state.textVersion());
    return new ApplyResult(RecentOperations.add(audited, result), result);
  }

  /**
   * Turns an exception of a validator into a refusal, so that a bug cannot stop every daemon at the
   * same record.
   */
  private Either<Refusal, ControlState> validateSafely(
      ControlState state, RecordBody body, RecordContext context) {
    try {
      return validators.validate(state, body, context);
    } catch (RuntimeException e) {
      return RecordValidator.refuse(
          ResultCode.INTERNAL_ERROR,
          "the record at offset %d could not be judged (%s); report this fault"
              .formatted(context.offset(), e.getClass().getSimpleName()));
    }
  }

  private static Refusal truncated(Refusal refusal) {
    return refusal.message().length() <= MAX_MESSAGE_LENGTH
        ? refusal
        : new Refusal(
            refusal.code(),
            refusal.message().substring(0, MAX_MESSAGE_LENGTH),
            refusal.retryAfterMs());
  }

  private static RecordResult result(
      ControlState state, LogRecord record, String operationId, Optional<Refusal> refusal) {
    return new RecordResult(record.offset(), operationId, refusal, state.textVersion());
  }
}
