package org.laburnumarch.internal.operator;

import io.vavr.collection.TreeMap;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.state.AuditEntry;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.DataCentreEntry;
import org.laburnumarch.internal.state.Envelope;
import org.laburnumarch.internal.state.KeyEntry;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordResult;
import org.laburnumarch.internal.text.FleetTextParser;
import org.laburnumarch.internal.text.FleetTextWriter;
import org.laburnumarch.internal.text.ParsedText;
import org.laburnumarch.internal.text.TextSections;

/** Applies records immediately, without a log; can lose the response to the next submission. */
public final class FakeOperatorBackend implements OperatorBackend {

  private ControlState state = ControlState.empty();
  private boolean isNextResponseLost;
  private int submissions;

  /** Members that {@link #status()} reports. */
  public List<FleetStatus.MemberView> members = List.of();

  /** Creates a backend with the given configuration text in force. */
  public FakeOperatorBackend(String text) {
    ParsedText parsed = new FleetTextParser().parse(text).get();
    setText(parsed.sections(), parsed);
  }

  /** Loses the response to the next submission, which still takes effect. */
  public void loseNextResponse() {
    isNextResponseLost = true;
  }

  /** Returns how many records were submitted. */
  public int submissions() {
    return submissions;
  }

  @Override
  public ControlState state() {
    return state;
  }

  @Override
  public CompletionStage<RecordResult> submit(Envelope envelope) {
    submissions++;
    RecordResult result =
        state.operations().get(envelope.operationId()).getOrElse(() -> validateAndApply(envelope));
    if (isNextResponseLost) {
      isNextResponseLost = false;
      return CompletableFuture.failedFuture(new IllegalStateException("response lost"));
    }
    return CompletableFuture.completedFuture(result);
  }

  @Override
  public CompletionStage<FleetStatus> status() {
    return CompletableFuture.completedFuture(new FleetStatus("m1", true, members));
  }

  private RecordResult validateAndApply(Envelope envelope) {
    Optional<Refusal> refusal = apply(envelope.body());
    long offset = state.nextOffset();
    RecordResult result =
        new RecordResult(offset, envelope.operationId(), refusal, state.textVersion());
    AuditEntry entry =
        new AuditEntry(
            offset,
            envelope.createdAtEpochMs(),
            envelope.operationId(),
            envelope.author(),
            envelope.body().getClass().getSimpleName(),
            "subject",
            state.textVersion(),
            result.code());
    state =
        new ControlState(
            offset + 1,
            state.textVersion(),
            state.sections(),
            state.text(),
            state.keys(),
            state.dataCentres(),
            state.members(),
            state.allowances(),
            state.instances(),
            state.operations().put(envelope.operationId(), result),
            state.audit().append(entry));
    return result;
  }

  private Optional<Refusal> apply(RecordBody body) {
    if (body instanceof RecordBody.ConfigChanged change) {
      TextSections result = state.sections().apply(change.patch());
      if (!result.digest().equals(change.resultDigest())) {
        return Optional.of(Refusal.of(ResultCode.RESULT_DIGEST_MISMATCH, "digest"));
      }
      setText(result, new FleetTextParser().parse(FleetTextWriter.write(result, 0)).get());
    } else if (body instanceof RecordBody.KeyGranted key) {
      putKey(new KeyEntry(key.keyId(), key.team(), key.secretDigest(), 0, false));
    } else if (body instanceof RecordBody.KeyRevoked revoked) {
      if (!state.keys().containsKey(revoked.keyId())) {
        return Optional.of(Refusal.of(ResultCode.KEY_UNKNOWN, "no such key; run key list"));
      }
      KeyEntry key = state.keys().get(revoked.keyId()).get();
      putKey(new KeyEntry(key.keyId(), key.team(), key.secretDigest(), 0, true));
    } else if (body instanceof RecordBody.DataCentreTakenOut out) {
      putDataCentre(new DataCentreEntry(out.dataCentre(), true, state.nextOffset()));
    } else if (body instanceof RecordBody.DataCentreReturned back) {
      putDataCentre(new DataCentreEntry(back.dataCentre(), false, state.nextOffset()));
    }
    return Optional.empty();
  }

  private void setText(TextSections sections, ParsedText parsed) {
    state =
        new ControlState(
            state.nextOffset(),
            state.textVersion() + 1,
            sections,
            Optional.of(parsed.fleet()),
            state.keys(),
            state.dataCentres(),
            state.members(),
            TreeMap.empty(),
            state.instances(),
            state.operations(),
            state.audit());
  }

  private void putKey(KeyEntry key) {
    state =
        new ControlState(
            state.nextOffset(),
            state.textVersion(),
            state.sections(),
            state.text(),
            state.keys().put(key.keyId(), key),
            state.dataCentres(),
            state.members(),
            state.allowances(),
            state.instances(),
            state.operations(),
            state.audit());
  }

  private void putDataCentre(DataCentreEntry entry) {
    state =
        new ControlState(
            state.nextOffset(),
            state.textVersion(),
            state.sections(),
            state.text(),
            state.keys(),
            state.dataCentres().put(entry.dataCentre(), entry),
            state.members(),
            state.allowances(),
            state.instances(),
            state.operations(),
            state.audit());
  }
}
