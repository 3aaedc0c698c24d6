package org.laburnumarch.internal.state;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.TextChecker;
import org.laburnumarch.internal.text.TextSections;

/** Validates a change of the configuration text and makes it the current one. */
final class ConfigChangedValidator implements RecordValidator<RecordBody.ConfigChanged> {

  private static final int MAX_FAULTS_LISTED = 5;

  private final TextChecker checker;

  ConfigChangedValidator(TextChecker checker) {
    this.checker = checker;
  }

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.ConfigChanged body, RecordContext context) {
    if (body.baseVersion() != state.textVersion()) {
      return RecordValidator.refuse(
          ResultCode.STALE_BASE_VERSION,
          "the change is based on version %d, but version %d is in force; fetch it and make the change again"
              .formatted(body.baseVersion(), state.textVersion()));
    }
    TextSections result = state.sections().apply(body.patch());
    if (!result.digest().equals(body.resultDigest())) {
      return RecordValidator.refuse(
          ResultCode.RESULT_DIGEST_MISMATCH,
          "the patch does not lead to the text that its author saw; fetch version %d and make the change again"
              .formatted(state.textVersion()));
    }
    if (result.equals(state.sections()) && state.text().isPresent()) {
      return RecordValidator.refuse(
          ResultCode.NO_CHANGE,
          "the text equals version %d, which is in force".formatted(state.textVersion()));
    }
    return checker
        .check(result)
        .mapLeft(ConfigChangedValidator::combined)
        .flatMap(text -> TextChange.checkInUse(state, text))
        .map(text -> activate(state, result, text, context));
  }

  private static ControlState activate(
      ControlState state, TextSections sections, FleetText text, RecordContext context) {
    ControlState changed = state.withText(state.textVersion() + 1, sections, text);
    return SeatAssigner.assign(
        changed
            .withDataCentres(TextChange.dataCentres(state, text, context))
            .withAllowances(TextChange.allowances(state, text, context))
            .withKeys(TextChange.keys(state, text)));
  }

  private static Refusal combined(Seq<Refusal> faults) {
    Refusal first = faults.head();
    String more =
        faults.size() > MAX_FAULTS_LISTED
            ? "; and %d more".formatted(faults.size() - MAX_FAULTS_LISTED)
            : "";
    return Refusal.of(
        first.code(), faults.take(MAX_FAULTS_LISTED).map(Refusal::message).mkString("; ") + more);
  }
}
