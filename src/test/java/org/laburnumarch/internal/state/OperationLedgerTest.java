package org.laburnumarch.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.ResultCode;
import org.laburnumarch.spi.LogRecord;

class OperationLedgerTest {

  private final History history = History.withFleet();

  private static Envelope envelope(String operationId, RecordBody body) {
    return new Envelope(operationId, "ada", 0, body);
  }

  @Nested
  class WhenARecordComesTwice {

    /** Guards against a change that is made twice because an answer was lost. */
    @Test
    void shouldKeepTheFirstVerdict() {
      var taken = envelope("op", new RecordBody.DataCentreTakenOut("north"));
      Verdict first = history.apply(taken);
      history.accept(new RecordBody.DataCentreReturned("north"));
      assertThat(history.apply(taken).code()).isEqualTo(ResultCode.DUPLICATE_OPERATION);
      assertThat(history.state().dataCentres().get("north").get().isOut()).isFalse();
      assertThat(history.state().operations().get("op").get()).isEqualTo(first);
    }

    /** Guards against a refused record that takes effect as a second copy. */
    @Test
    void shouldKeepARefusal() {
      var granted = envelope("op", new RecordBody.KeyGranted("k", "green", "a".repeat(64)));
      assertThat(history.apply(granted).code()).isEqualTo(ResultCode.UNKNOWN_NAME);
      history.changeText(TestTexts.with(TestTexts.fleet(), "team green", "limit", "3"));
      assertThat(history.apply(granted).code()).isEqualTo(ResultCode.DUPLICATE_OPERATION);
      assertThat(history.state().keys().isEmpty()).isTrue();
    }
  }

  @Nested
  class WhenRecordsPassBy {

    /** Guards against a state that grows without bound. */
    @Test
    void shouldForgetTheOldestBeyondTheBound() {
      for (int i = 0; i < OperationLedger.MAX_OPERATIONS + 5; i++) {
        history.apply(envelope("o" + i, new RecordBody.KeyRevoked("k")));
      }
      assertThat(history.state().operations().size()).isEqualTo(OperationLedger.MAX_OPERATIONS);
      assertThat(history.state().operationTimes().size()).isEqualTo(OperationLedger.MAX_OPERATIONS);
      assertThat(history.state().operations().containsKey("o4")).isFalse();
      assertThat(history.state().operations().containsKey("o5")).isTrue();
      assertThat(history.state().audit().size()).isEqualTo(AuditTrail.MAX_ENTRIES);
      byte[] snapshot = new SnapshotCodec(TestTexts.CHECKER).encode(history.state());
      assertThat(snapshot.length).isLessThan(RecordCodec.MAX_RECORD_BYTES - 1_000);
    }

    @Test
    void shouldForgetWhatIsTooOldByLogTime() {
      history.apply(envelope("old", new RecordBody.KeyRevoked("k")));
      history.advance(OperationLedger.MAX_AGE_MS + 1);
      history.apply(envelope("new", new RecordBody.KeyRevoked("k")));
      assertThat(history.state().operations().keySet()).containsExactly("new");
      assertThat(history.state().audit().size()).isEqualTo(3);
      history.advance(AuditTrail.MAX_AGE_MS);
      history.apply(envelope("newer", new RecordBody.KeyRevoked("k")));
      assertThat(history.state().audit().size()).isEqualTo(2);
    }

    /** Guards against a clock of the log that steps back and unsettles the order of ages. */
    @Test
    void shouldKeepLogTimeFromGoingBack() {
      long before = history.state().logTimeEpochMs();
      history.advance(-5_000);
      history.apply(envelope("op", new RecordBody.KeyRevoked("k")));
      assertThat(history.state().logTimeEpochMs()).isEqualTo(before);
    }

    @Test
    void shouldSkipMalformedRecords() {
      assertThat(history.apply(new byte[] {9, 9}).code())
          .isEqualTo(ResultCode.RECORD_VERSION_UNSUPPORTED);
      assertThat(history.apply(new byte[0]).code()).isEqualTo(ResultCode.RECORD_MALFORMED);
    }

    @Test
    void shouldNotTakeARecordOutOfOrder() {
      var machine = new ControlStateMachine(TestTexts.CHECKER);
      org.assertj.core.api.Assertions.assertThatIllegalArgumentException()
          .isThrownBy(() -> machine.apply(ControlState.empty(), new LogRecord(1, 0, new byte[0])));
    }

    /** Guards against a fault that stops all daemons at the same record. */
    @Test
    void shouldRefuseARecordWhoseJudgeFails() {
      var machine =
          new ControlStateMachine(
              sections -> {
                throw new IllegalStateException("checker failed");
              });
      byte[] bytes =
          RecordCodec.encode(
                  envelope(
                      "op",
                      TestTexts.change(
                          0,
                          org.laburnumarch.internal.text.TextSections.empty(),
                          TestTexts.fleet())))
              .get();
      Applied applied = machine.apply(ControlState.empty(), new LogRecord(0, 0, bytes));
      assertThat(applied.verdict().code()).isEqualTo(ResultCode.INTERNAL_ERROR);
      assertThat(applied.state().nextOffset()).isEqualTo(1);
    }
  }

  @Nested
  class WhenOperatorsAskForChanges {

    /** Guards against a trail that lacks refused changes or holds secrets. */
    @Test
    void shouldWriteAnEntryForEachWithoutSecrets() {
      history.apply(envelope("a", new RecordBody.KeyGranted("k", "red", "a".repeat(64))));
      history.apply(envelope("b", new RecordBody.DataCentreTakenOut("west")));
      history.join("m");
      assertThat(history.state().audit().map(AuditEntry::kind))
          .containsExactly("ConfigChanged", "KeyGranted", "DataCentreTakenOut");
      assertThat(history.state().audit().map(AuditEntry::result))
          .containsExactly(ResultCode.OK, ResultCode.OK, ResultCode.DATA_CENTRE_UNKNOWN);
      assertThat(history.state().audit().get(1).subject()).isEqualTo("k for team red");
      assertThat(history.state().audit().get(1).author()).isEqualTo("ada");
    }
  }
}
