package org.laburnumarch.internal.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laburnumarch.internal.state.TestTexts.fleet;
import static org.laburnumarch.internal.state.TestTexts.with;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.ResultCode;

class AllowanceTest {

  private final ControlLogFixture fixture = ControlLogFixture.withFleet();

  private static RecordBody claim(String memberId, int units) {
    return new RecordBody.AllowanceClaimed(memberId, List.of(new TeamUnits("red", units)));
  }

  private static RecordBody reclaim(String... memberIds) {
    return new RecordBody.AllowanceReclaimed(List.of(memberIds));
  }

  private TransferTotals totals(String departed, long sent, long received) {
    return new TransferTotals(departed, "red", fixture.allowance("red").epoch(), sent, received);
  }

  private int base(String memberId) {
    return fixture.allowance("red").baseUnits().getOrElse(memberId, 0);
  }

  @Nested
  class WhenUnitsAreClaimed {

    /** Guards against two claims that race for the last units. */
    @Test
    void shouldRefuseAClaimOfMoreThanTheUnassignedUnits() {
      fixture.joinCounting("m1", "m2");
      fixture.accept(claim("m1", 7));
      fixture.refuse(claim("m2", 4), ResultCode.ALLOWANCE_EXHAUSTED);
      fixture.accept(claim("m2", 3));
      assertThat(fixture.allowance("red").unassignedUnits()).isZero();
      fixture.refuse(claim("m2", 0), ResultCode.VALUE_OUT_OF_RANGE);
      fixture.refuse(claim("m9", 1), ResultCode.MEMBER_UNKNOWN);
    }

    /** Guards against a claim for several teams that is granted only in part. */
    @Test
    void shouldGrantAClaimInFullOrNotAtAll() {
      fixture.joinCounting("m1");
      fixture.refuse(
          new RecordBody.AllowanceClaimed(
              "m1", List.of(new TeamUnits("blue", 5), new TeamUnits("red", 11))),
          ResultCode.ALLOWANCE_EXHAUSTED);
    }
  }

  @Nested
  class WhenAMemberHasDeparted {

    @Test
    void shouldSettleByTheCountersOfRemainingMembers() {
      fixture.joinCounting("m1", "m2", "m3");
      fixture.accept(claim("m3", 6));
      fixture.expelSilent("m3", "m1");
      fixture.acknowledge("m1", totals("m3", 1, 4));
      fixture.refuse(reclaim("m3"), ResultCode.NOT_SETTLED);
      fixture.acknowledge("m2", totals("m3", 0, 1));
      fixture.accept(reclaim("m3"));
      assertThat(base("m1")).isEqualTo(3);
      assertThat(base("m2")).isEqualTo(1);
      assertThat(fixture.allowance("red").unassignedUnits()).isEqualTo(6);
      assertThat(fixture.state().members().containsKey("m3")).isFalse();
      fixture.refuse(reclaim("m3"), ResultCode.MEMBER_UNKNOWN);
    }

    /** Guards against counters that change after they were reported as final. */
    @Test
    void shouldKeepTheFirstFinalCounters() {
      fixture.joinCounting("m1", "m2", "m3");
      fixture.accept(claim("m3", 6));
      fixture.expelSilent("m3", "m1");
      fixture.acknowledge("m1", totals("m3", 0, 2));
      fixture.acknowledge("m1", totals("m3", 0, 5));
      fixture.acknowledge("m2");
      fixture.accept(reclaim("m3"));
      assertThat(base("m1")).isEqualTo(2);
    }

    /**
     * Guards against units that are credited to a departed member, which cannot report its own
     * counters any more.
     */
    @Test
    void shouldReclaimInTheOrderOfDepartures() {
      fixture.joinCounting("m1", "m2", "m3", "m4", "m5");
      fixture.accept(new RecordBody.MemberLeft("m2"));
      fixture.accept(new RecordBody.MemberLeft("m3"));
      for (String member : List.of("m1", "m4", "m5")) {
        fixture.acknowledge(member);
      }
      fixture.refuse(reclaim("m3"), ResultCode.NOT_SETTLED);
      fixture.accept(reclaim("m2", "m3"));
    }

    @Test
    void shouldReclaimMembersTogetherIfOneDepartedWithoutAcknowledgingTheOther() {
      fixture.joinCounting("m1", "m2", "m3", "m4");
      fixture.accept(claim("m3", 6));
      fixture.expelSilent("m3", "m1");
      fixture.accept(new RecordBody.MemberExpelled("m2", "m1", ExpulsionReason.GONE));
      fixture.acknowledge("m1", totals("m3", 0, 1));
      fixture.acknowledge("m4");
      fixture.refuse(reclaim("m3"), ResultCode.NOT_SETTLED);
      fixture.accept(reclaim("m3", "m2"));
      assertThat(fixture.allowance("red").unassignedUnits()).isEqualTo(9);
    }

    /** Guards against units that are assigned twice because a counter is wrong. */
    @Test
    void shouldRefuseCountersThatViolateTheLimit() {
      fixture.joinCounting("m1", "m2", "m3");
      fixture.accept(claim("m3", 6));
      fixture.expelSilent("m3", "m1");
      fixture.acknowledge("m1", totals("m3", 0, 50));
      fixture.acknowledge("m2");
      fixture.refuse(reclaim("m3"), ResultCode.INVARIANT_UPPER_LIMIT);
    }

    /** Guards against transfers of an old epoch that are settled in a new one. */
    @Test
    void shouldIgnoreCountersOfAnOlderEpoch() {
      fixture.joinCounting("m1", "m2", "m3");
      fixture.accept(claim("m3", 6));
      fixture.accept(new RecordBody.MemberLeft("m3"));
      TransferTotals old = totals("m3", 0, 4);
      fixture.acknowledge("m1", old);
      fixture.changeText(with(fleet(), "team red", "limit", "4"));
      fixture.acknowledge("m2", old);
      fixture.accept(reclaim("m3"));
      assertThat(base("m1")).isEqualTo(2);
      assertThat(base("m2")).isEqualTo(2);
    }

    /** Guards against a minority that reassigns units that the majority may still use. */
    @Test
    void shouldReclaimNothingWithoutAMajorityOfTheCountingSet() {
      fixture.joinCounting("m1", "m2", "m3", "m4");
      fixture.expelSilent("m2", "m1");
      fixture.expelSilent("m3", "m1");
      fixture.expelSilent("m4", "m1");
      fixture.acknowledge("m1");
      fixture.refuse(reclaim("m2", "m3", "m4"), ResultCode.NOT_SETTLED);
      fixture.accept(new RecordBody.MemberExpelled("m3", "m1", ExpulsionReason.GONE));
      fixture.accept(new RecordBody.MemberExpelled("m4", "m1", ExpulsionReason.GONE));
      fixture.refuse(reclaim("m2", "m3", "m4"), ResultCode.NOT_SETTLED);
      fixture.accept(new RecordBody.MemberExpelled("m2", "m1", ExpulsionReason.GONE));
      fixture.accept(reclaim("m2", "m3", "m4"));
    }

    @Test
    void shouldNotWaitForMembersThatJoinedLater() {
      fixture.joinCounting("m1", "m2", "m3");
      fixture.accept(new RecordBody.MemberLeft("m3"));
      fixture.join("m4");
      fixture.acknowledge("m1");
      fixture.acknowledge("m2");
      fixture.accept(reclaim("m3"));
    }
  }
}
