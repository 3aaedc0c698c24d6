package org.laburnumarch.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.ResultCode;
import org.laburnumarch.spi.LogRecord;

class RecentOperationsTest {

  private final ControlLogFixture fixture = ControlLogFixture.withFleet();

  private static Envelope envelope(String operationId, RecordBody body) {
    return new Envelope(operationId, "ada", 0, body);
  }

  @Nested
  class WhenARecordIsDuplicated {

    /** Guards against a change that is applied twice because a response was lost. */
    @Test
    void shouldKeepTheFirstResult() {
      var taken = envelope("op", new RecordBody.DataCentreTakenOut("north"));
      RecordResult first = fixture.apply(taken);
      fixture.accept(new RecordBody.DataCentreReturned("north"));
      assertThat(fixture.apply(taken).code()).isEqualTo(ResultCode.DUPLICATE_OPERATION);
      assertThat(fixture.state().dataCentres().get("north").get().isOut()).isFalse();
      assertThat(fixture.state().operations().get("op").get()).isEqualTo(first);
    }

    /** Guards against a duplicate of a refused record that takes effect. */
    @Test
    void shouldKeepARefusal() {
      var granted = envelope("op", new RecordBody.KeyGranted("k", "green", "a".repeat(64)));
      assertThat(fixture.apply(granted).code()).isEqualTo(ResultCode.UNKNOWN_NAME);
      fixture.changeText(TestTexts.with(TestTexts.fleet(), "team green", "limit", "3"));
      assertThat(fixture.apply(granted).code()).isEqualTo(ResultCode.DUPLICATE_OPERATION);
      assertThat(fixture.state().keys().isEmpty()).isTrue();
    }
  }

  @Nested
  class WhenRecordsAreApplied {

    /** Guards against a state that grows without bound. */
    @Test
    void shouldDropTheOldestBeyondTheLimit() {
      for (int i = 0; i < RecentOperations.MAX_OPERATIONS + 5; i++) {
        fixture.apply(envelope("o" + i, new RecordBody.KeyRevoked("k")));
      }
      assertThat(fixture.state().operations().size()).isEqualTo(RecentOperations.MAX_OPERATIONS);
      assertThat(fixture.state().operationTimes().size())
          .isEqualTo(RecentOperations.MAX_OPERATIONS);
      assertThat(fixture.state().operations().containsKey("o4")).isFalse();
      assertThat(fixture.state().operations().containsKey("o5")).isTrue();
      assertThat(fixture.state().audit().size()).isEqualTo(AuditTrail.MAX_ENTRIES);
      byte[] snapshot = new SnapshotCodec(TestTexts.CHECKER).encode(fixture.state());
      assertThat(snapshot.length).isLessThan(RecordCodec.MAX_RECORD_BYTES - 1_000);
    }

    @Test
    void shouldDropEntriesThatAreTooOldByLogTime() {
      fixture.apply(envelope("old", new RecordBody.KeyRevoked("k")));
      fixture.advance(RecentOperations.MAX_AGE_MS + 1);
      fixture.apply(envelope("new", new RecordBody.KeyRevoked("k")));
      assertThat(fixture.state().operations().keySet()).containsExactly("new");
      assertThat(fixture.state().audit().size()).isEqualTo(3);
      fixture.advance(AuditTrail.MAX_AGE_MS);
      fixture.apply(envelope("newer", new RecordBody.KeyRevoked("k")));
      assertThat(fixture.state().audit().size()).isEqualTo(2);
    }

    /**
     * Guards against a backward step of the log's clock, which would break the order of entries by
     * age.
     */
    @Test
    void shouldNotDecreaseLogTime() {
      long before = fixture.state().logTimeEpochMs();
      fixture.advance(-5_000);
      fixture.apply(envelope("op", new RecordBody.KeyRevoked("k")));
      assertThat(fixture.state().logTimeEpochMs()).isEqualTo(before);
    }

    @Test
    void shouldSkipMalformedRecords() {
      assertThat(fixture.apply(new byte[] {9, 9}).code())
          .isEqualTo(ResultCode.RECORD_VERSION_UNSUPPORTED);
      assertThat(fixture.apply(new byte[0]).code()).isEqualTo(ResultCode.RECORD_MALFORMED);
    }

    @Test
    void shouldRejectARecordOutOfOrder() {
      var machine = new ControlStateMachine(TestTexts.CHECKER);
      org.assertj.core.api.Assertions.assertThatIllegalArgumentException()
          .isThrownBy(() -> machine.apply(ControlState.empty(), new LogRecord(1, 0, new byte[0])));
    }

    /** Guards against a bug in a validator that stops all daemons at the same record. */
    @Test
    void shouldRefuseARecordWhoseValidatorThrows() {
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
      ApplyResult applyResult = machine.apply(ControlState.empty(), new LogRecord(0, 0, bytes));
      assertThat(applyResult.result().code()).isEqualTo(ResultCode.INTERNAL_ERROR);
      assertThat(applyResult.state().nextOffset()).isEqualTo(1);
    }
  }

  @Nested
  class WhenOperatorsRequestChanges {

    /** Guards against an audit trail that omits refused changes or contains secrets. */
    @Test
    void shouldAddAnAuditEntryForEachWithoutSecrets() {
      fixture.apply(envelope("a", new RecordBody.KeyGranted("k", "red", "a".repeat(64))));
      fixture.apply(envelope("b", new RecordBody.DataCentreTakenOut("west")));
      fixture.join("m");
      assertThat(fixture.state().audit().map(AuditEntry::kind))
          .containsExactly("ConfigChanged", "KeyGranted", "DataCentreTakenOut");
      assertThat(fixture.state().audit().map(AuditEntry::result))
          .containsExactly(ResultCode.OK, ResultCode.OK, ResultCode.DATA_CENTRE_UNKNOWN);
      assertThat(fixture.state().audit().get(1).subject()).isEqualTo("k for team red");
      assertThat(fixture.state().audit().get(1).author()).isEqualTo("ada");
    }
  }
}
