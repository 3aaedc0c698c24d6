package org.laburnumarch.internal.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laburnumarch.internal.state.TestTexts.change;
import static org.laburnumarch.internal.state.TestTexts.fleet;
import static org.laburnumarch.internal.state.TestTexts.with;
import static org.laburnumarch.internal.state.TestTexts.without;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.SectionPatch;
import org.laburnumarch.internal.text.TextSections;

class ConfigChangedValidatorTest {

  private final ControlLogFixture fixture = ControlLogFixture.withFleet();

  @Nested
  class WhenOperatorsChangeTheTextConcurrently {

    /** Guards against a change that is silently overwritten. */
    @Test
    void shouldRefuseTheSecondChangeBasedOnTheSameVersion() {
      TextSections first = with(fleet(), "team red", "limit", "11");
      TextSections second = with(fleet(), "team red", "limit", "12");
      fixture.accept(change(1, fleet(), first));
      fixture.refuse(change(1, fleet(), second), ResultCode.STALE_BASE_VERSION);
      assertThat(fixture.state().sections()).isEqualTo(first);
      assertThat(fixture.state().textVersion()).isEqualTo(2);
    }

    /**
     * Guards against a patch applied to a text other than the one it was made from, though the
     * version number is the same.
     */
    @Test
    void shouldRefuseAPatchThatWasMadeFromAnotherText() {
      TextSections other = with(fleet(), "team green", "limit", "5");
      TextSections wanted = with(other, "team red", "limit", "12");
      fixture.refuse(change(1, other, wanted), ResultCode.RESULT_DIGEST_MISMATCH);
    }

    @Test
    void shouldRefuseAChangeThatChangesNothing() {
      fixture.refuse(change(1, fleet(), fleet()), ResultCode.NO_CHANGE);
      assertThat(fixture.state().textVersion()).isEqualTo(1);
    }

    @Test
    void shouldRefuseAFaultyTextWithTheCodeOfTheFault() {
      fixture.refuse(change(1, fleet(), with(fleet(), "faulty")), ResultCode.UNKNOWN_SETTING);
    }
  }

  @Nested
  class WhenLimitsChange {

    @Test
    void shouldLeaveALargerLimitUnassigned() {
      fixture.joinCounting("m1");
      fixture.accept(claim("m1", "red", 6));
      long epoch = fixture.allowance("red").epoch();
      fixture.changeText(with(fleet(), "team red", "limit", "13"));
      assertThat(fixture.allowance("red").unassignedUnits()).isEqualTo(7);
      assertThat(fixture.allowance("red").epoch()).isEqualTo(epoch);
    }

    /** Guards against units of the old limit that stay valid in addition to the new ones. */
    @Test
    void shouldSplitASmallerLimitInTheOrderOfSeats() {
      fixture.joinCounting("m3", "m1", "m2");
      fixture.accept(claim("m1", "red", 9));
      fixture.changeText(with(fleet(), "team red", "limit", "5"));
      AllowanceEntry entry = fixture.allowance("red");
      assertThat(entry.epoch()).isEqualTo(fixture.state().nextOffset() - 1);
      assertThat(entry.unassignedUnits()).isZero();
      assertThat(entry.baseUnits().toJavaMap())
          .containsEntry("m3", 2)
          .containsEntry("m1", 2)
          .containsEntry("m2", 1);
    }

    @Test
    void shouldAddAndRemoveTeams() {
      fixture.changeText(without(with(fleet(), "team green", "limit", "7"), "team red"));
      assertThat(fixture.state().allowances().keySet()).containsExactly("blue", "green");
      assertThat(fixture.allowance("green").unassignedUnits()).isEqualTo(7);
    }

    private RecordBody claim(String memberId, String team, int units) {
      return new RecordBody.AllowanceClaimed(
          memberId, java.util.List.of(new TeamUnits(team, units)));
    }
  }

  @Nested
  class WhenSectionsAreRemoved {

    /** Guards against an old key that becomes valid again when its team's name is reused. */
    @Test
    void shouldRevokeKeysOfARemovedTeamPermanently() {
      fixture.accept(new RecordBody.KeyGranted("k", "red", "a".repeat(64)));
      fixture.changeText(without(fleet(), "team red"));
      fixture.changeText(fleet());
      assertThat(fixture.state().keys().get("k").get().isRevoked()).isTrue();
      fixture.refuse(
          new RecordBody.KeyGranted("k", "red", "a".repeat(64)), ResultCode.DUPLICATE_NAME);
      fixture.refuse(new RecordBody.KeyRevoked("k"), ResultCode.NO_CHANGE);
    }

    /** Guards against instances whose pool or data centre is no longer configured. */
    @Test
    void shouldRefuseToRemoveAPoolThatHasInstances() {
      fixture.addInstance("i1", "spare", "north");
      fixture.refuse(change(1, fleet(), without(fleet(), "pool spare")), ResultCode.INSTANCE_BUSY);
      fixture.refuse(
          change(1, fleet(), without(fleet(), "data-centre north")), ResultCode.INSTANCE_BUSY);
    }

    /** Guards against more connections to a minion than it accepts. */
    @Test
    void shouldRefuseFewerSeatsThanAreHeld() {
      fixture.joinCounting("m1", "m2", "m3");
      fixture.refuse(
          change(1, fleet(), with(fleet(), "fleet", "max-seats", "2")),
          ResultCode.VALUE_OUT_OF_RANGE);
    }

    /** Guards against a change of the text that returns a data centre to service. */
    @Test
    void shouldKeepDataCentresOut() {
      fixture.accept(new RecordBody.DataCentreTakenOut("north"));
      fixture.changeText(with(fleet(), "team red", "limit", "11"));
      assertThat(fixture.state().dataCentres().get("north").get().isOut()).isTrue();
      fixture.refuse(
          new RecordBody.DataCentreTakenOut("north"), ResultCode.DATA_CENTRE_STATE_UNCHANGED);
      fixture.accept(new RecordBody.DataCentreReturned("north"));
      fixture.refuse(new RecordBody.DataCentreTakenOut("west"), ResultCode.DATA_CENTRE_UNKNOWN);
    }
  }

  /** Guards against version numbers that decrease because of a faulty validator. */
  @Test
  void shouldRefuseADecreaseOfTheVersion() {
    ControlState after = fixture.state();
    ControlState before = after.withText(2, after.sections(), after.text().orElseThrow());
    assertThat(Invariants.check(before, after).getLeft().code())
        .isEqualTo(ResultCode.INVARIANT_CONFIGURATION);
    assertThat(SectionPatch.between(after.sections(), before.sections()).isEmpty()).isTrue();
  }
}
