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

/** Shows, checks and changes the fleet configuration, which operators write as a text. */
final class ConfigResource {

  private static final long RETRY_AFTER_MS = 1_000;

  private final OperatorBackend backend;
  private final ChangeSubmitter submitter;
  private final FleetTextParser parser = new FleetTextParser();

  ConfigResource(OperatorBackend backend, ChangeSubmitter submitter) {
    this.backend = backend;
    this.submitter = submitter;
  }

  /** Returns the text in force with its version and digest. */
  CompletionStage<OperatorResponse> show(AuthenticatedRequest request) {
    ControlState state = backend.state();
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("version", state.textVersion());
    fields.put("digest", state.sections().digest());
    fields.put("text", FleetTextWriter.write(state.sections(), state.textVersion()));
    return CompletableFuture.completedFuture(JsonResponses.ok(fields));
  }

  /** Returns the faults of a text, or the sections that it would change. */
  CompletionStage<OperatorResponse> check(AuthenticatedRequest request) {
    ControlState state = backend.state();
    OperatorResponse response =
        request
            .text("text")
            .fold(
                JsonResponses::refused,
                text ->
                    parser
                        .parse(text)
                        .fold(this::faultResponse, parsed -> differenceResponse(state, parsed)));
    return CompletableFuture.completedFuture(response);
  }

  private OperatorResponse differenceResponse(ControlState state, ParsedText parsed) {
    SectionPatch patch = SectionPatch.between(state.sections(), parsed.sections());
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("version", state.textVersion());
    fields.put("faults", List.of());
    fields.put("replaced", patch.replaced().keySet().stream().sorted().toList());
    fields.put("removed", patch.removed().stream().sorted().toList());
    return JsonResponses.ok(fields);
  }

  private OperatorResponse faultResponse(Seq<TextFault> faults) {
    List<Map<String, Object>> list = faults.map(ConfigResource::describe).toJavaList();
    String message = "the text has " + faults.size() + (faults.size() == 1 ? " fault" : " faults");
    return JsonResponses.refused(
        Refusal.of(faults.head().code(), message + "; fix all of them and send it again"),
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

  /** Submits a text as a new version if it is based on the version in force. */
  CompletionStage<OperatorResponse> apply(AuthenticatedRequest request) {
    Either<Refusal, String> text = request.text("text");
    Either<Refusal, Long> base = request.number("baseVersion");
    if (text.isLeft() || base.isLeft()) {
      Refusal refusal = text.isLeft() ? text.getLeft() : base.getLeft();
      return CompletableFuture.completedFuture(JsonResponses.refused(refusal));
    }
    return parser
        .parse(text.get())
        .fold(
            faults -> CompletableFuture.completedFuture(faultResponse(faults)),
            parsed -> submitter.submit(request, changeOf(base.get(), parsed.sections())));
  }

  private OperatorChange changeOf(long baseVersion, TextSections newSections) {
    // Only the newest version's sections are kept, so a change is compared only if it is the
    // newest.
    return OperatorChange.of(
        RecordBody.ConfigChanged.class,
        id -> newRecord(baseVersion, newSections),
        (state, result) ->
            state.textVersion() != result.textVersion() || state.sections().equals(newSections));
  }

  private Either<Refusal, RecordBody> newRecord(long baseVersion, TextSections newSections) {
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
              "the text is based on version "
                  + baseVersion
                  + ", but version "
                  + state.textVersion()
                  + " is in force; fetch it and make the change again"));
    }
    SectionPatch patch = SectionPatch.between(state.sections(), newSections);
    if (patch.replaced().isEmpty() && patch.removed().isEmpty()) {
      return Either.left(
          Refusal.of(ResultCode.NO_CHANGE, "the text is the same as the one in force"));
    }
    return Either.right(new RecordBody.ConfigChanged(baseVersion, patch, newSections.digest()));
  }
}
