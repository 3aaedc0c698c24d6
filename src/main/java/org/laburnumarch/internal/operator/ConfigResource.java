package org.laburnumarch.internal.operator;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.text.FleetTextParser;
import org.laburnumarch.internal.text.FleetTextWriter;
import org.laburnumarch.internal.text.ParsedText;
import org.laburnumarch.internal.text.SectionPatch;
import org.laburnumarch.internal.text.TextFault;
import org.laburnumarch.internal.text.TextSections;

/** Shows, checks and changes the operators' text. */
final class ConfigResource {

  private static final long RETRY_AFTER_MS = 1_000;

  private final OperatorBackend backend;
  private final Submitter submitter;
  private final FleetTextParser parser = new FleetTextParser();

  ConfigResource(OperatorBackend backend, Submitter submitter) {
    this.backend = backend;
    this.submitter = submitter;
  }

  /** Shows the text in force. */
  CompletionStage<OperatorAnswer> show(OperatorCall call) {
    ControlState state = backend.state();
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("version", state.textVersion());
    fields.put("digest", state.sections().digest());
    fields.put("text", FleetTextWriter.write(state.sections(), state.textVersion()));
    return CompletableFuture.completedFuture(Answers.ok(fields));
  }

  /** Says what is wrong with a text, or what it would change. */
  CompletionStage<OperatorAnswer> check(OperatorCall call) {
    ControlState state = backend.state();
    OperatorAnswer answer =
        call.text("text")
            .fold(
                Answers::refused,
                text -> parser.parse(text).fold(this::faulty, parsed -> changes(state, parsed)));
    return CompletableFuture.completedFuture(answer);
  }

  private OperatorAnswer changes(ControlState state, ParsedText parsed) {
    SectionPatch patch = SectionPatch.between(state.sections(), parsed.sections());
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("version", state.textVersion());
    fields.put("faults", List.of());
    fields.put("replaced", patch.replaced().keySet().stream().sorted().toList());
    fields.put("removed", patch.removed().stream().sorted().toList());
    return Answers.ok(fields);
  }

  private OperatorAnswer faulty(Seq<TextFault> faults) {
    List<Map<String, Object>> list = faults.map(ConfigResource::describe).toJavaList();
    String message = "the text has " + faults.size() + (faults.size() == 1 ? " fault" : " faults");
    return Answers.refused(
        Refusal.of(faults.head().code(), message + "; mend all of them and send it again"),
        Map.of("faults", list));
  }

  private static Map<String, Object> describe(TextFault fault) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("line", fault.line());
    fields.put("result", fault.code().number());
    fields.put("name", fault.code().name());
    fields.put("section", fault.section());
    fields.put("key", fault.key());
    fields.put("problem", fault.problem());
    fields.put("mend", fault.remedy());
    return fields;
  }

  /** Puts a text into force, if it is made from the version in force. */
  CompletionStage<OperatorAnswer> apply(OperatorCall call) {
    Either<Refusal, String> text = call.text("text");
    Either<Refusal, Long> base = call.number("baseVersion");
    if (text.isLeft() || base.isLeft()) {
      Refusal refusal = text.isLeft() ? text.getLeft() : base.getLeft();
      return CompletableFuture.completedFuture(Answers.refused(refusal));
    }
    return parser
        .parse(text.get())
        .fold(
            faults -> CompletableFuture.completedFuture(faulty(faults)),
            parsed -> submitter.submit(call, changeOf(base.get(), parsed.sections())));
  }

  private Change changeOf(long baseVersion, TextSections wanted) {
    // Later versions hide what a version held, so that only the newest one can be compared.
    return Change.of(
        RecordBody.ConfigChanged.class,
        id -> change(baseVersion, wanted),
        (state, verdict) ->
            state.textVersion() != verdict.textVersion() || state.sections().equals(wanted));
  }

  private Either<Refusal, RecordBody> change(long baseVersion, TextSections wanted) {
    ControlState state = backend.state();
    if (baseVersion > state.textVersion()) {
      return Either.left(
          Refusal.retryable(
              ResultCode.NOT_READY,
              "this daemon has not applied version " + baseVersion + " yet; send it again",
              RETRY_AFTER_MS));
    }
    if (baseVersion < state.textVersion()) {
      return Either.left(
          Refusal.of(
              ResultCode.STALE_BASE_VERSION,
              "the text is made from version "
                  + baseVersion
                  + ", but version "
                  + state.textVersion()
                  + " is in force; make the same edit in the text in force"));
    }
    SectionPatch patch = SectionPatch.between(state.sections(), wanted);
    if (patch.replaced().isEmpty() && patch.removed().isEmpty()) {
      return Either.left(
          Refusal.of(ResultCode.NO_CHANGE, "the text is the same as the one in force"));
    }
    return Either.right(new RecordBody.ConfigChanged(baseVersion, patch, wanted.digest()));
  }
}
