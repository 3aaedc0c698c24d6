package org.laburnumarch.internal.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laburnumarch.internal.state.TestTexts.fleet;
import static org.laburnumarch.internal.state.TestTexts.with;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.ResultCode;

class AllowanceTest {

  private final History history = History.withFleet();

  private static RecordBody claim(String memberId, int units) {
    return new RecordBody.AllowanceClaimed(memberId, List.of(new TeamUnits("red", units)));
  }

  private static RecordBody reclaim(String... memberIds) {
    return new RecordBody.AllowanceReclaimed(List.of(memberIds));
  }

  private TransferTotals totals(String departed, long sent, long received) {
    return new TransferTotals(departed, "red", history.allowance("red").epoch(), sent, received);
  }

  private int base(String memberId) {
    return history.allowance("red").baseUnits().getOrElse(memberId, 0);
  }

  @Nested
  class WhenUnitsAreClaimed {

    /** Guards against two claims that race for the last units. */
    @Test
    void shouldRefuseAClaimOfMoreThanTheUnassignedUnits() {
      history.joinCounting("m1", "m2");
      history.accept(claim("m1", 7));
      history.refuse(claim("m2", 4), ResultCode.ALLOWANCE_EXHAUSTED);
      history.accept(claim("m2", 3));
      assertThat(history.allowance("red").unassignedUnits()).isZero();
      history.refuse(claim("m2", 0), ResultCode.VALUE_OUT_OF_RANGE);
      history.refuse(claim("m9", 1), ResultCode.MEMBER_UNKNOWN);
    }

    /** Guards against a claim for several teams that is granted only in part. */
    @Test
    void shouldGrantAClaimInFullOrNotAtAll() {
      history.joinCounting("m1");
      history.refuse(
          new RecordBody.AllowanceClaimed(
              "m1", List.of(new TeamUnits("blue", 5), new TeamUnits("red", 11))),
          ResultCode.ALLOWANCE_EXHAUSTED);
    }
  }

  @Nested
  class WhenAMemberHasDeparted {

    @Test
    void shouldSettleByTheCountersOfRemainingMembers() {
      history.joinCounting("m1", "m2", "m3");
      history.accept(claim("m3", 6));
      history.expelSilent("m3", "m1");
      history.acknowledge("m1", totals("m3", 1, 4));
      history.refuse(reclaim("m3"), ResultCode.NOT_SETTLED);
      history.acknowledge("m2", totals("m3", 0, 1));
      history.accept(reclaim("m3"));
      assertThat(base("m1")).isEqualTo(3);
      assertThat(base("m2")).isEqualTo(1);
      assertThat(history.allowance("red").unassignedUnits()).isEqualTo(6);
      assertThat(history.state().members().containsKey("m3")).isFalse();
      history.refuse(reclaim("m3"), ResultCode.MEMBER_UNKNOWN);
    }

    /** Guards against counters that change after they were reported as final. */
    @Test
    void shouldKeepTheFirstFinalCounters() {
      history.joinCounting("m1", "m2", "m3");
      history.accept(claim("m3", 6));
      history.expelSilent("m3", "m1");
      history.acknowledge("m1", totals("m3", 0, 2));
      history.acknowledge("m1", totals("m3", 0, 5));
      history.acknowledge("m2");
      history.accept(reclaim("m3"));
      assertThat(base("m1")).isEqualTo(2);
    }

    /**
     * Guards against units that are credited to a departed member, which cannot report its own
     * counters any more.
     */
    @Test
    void shouldReclaimInTheOrderOfDepartures() {
      history.joinCounting("m1", "m2", "m3", "m4", "m5");
      history.accept(new RecordBody.MemberLeft("m2"));
      history.accept(new RecordBody.MemberLeft("m3"));
      for (String member : List.of("m1", "m4", "m5")) {
        history.acknowledge(member);
      }
      history.refuse(reclaim("m3"), ResultCode.NOT_SETTLED);
      history.accept(reclaim("m2", "m3"));
    }

    @Test
    void shouldReclaimMembersTogetherIfOneDepartedWithoutAcknowledgingTheOther() {
      history.joinCounting("m1", "m2", "m3", "m4");
      history.accept(claim("m3", 6));
      history.expelSilent("m3", "m1");
      history.accept(new RecordBody.MemberExpelled("m2", "m1", ExpulsionReason.GONE));
      history.acknowledge("m1", totals("m3", 0, 1));
      history.acknowledge("m4");
      history.refuse(reclaim("m3"), ResultCode.NOT_SETTLED);
      history.accept(reclaim("m3", "m2"));
      assertThat(history.allowance("red").unassignedUnits()).isEqualTo(9);
    }

    /** Guards against units that are assigned twice because a counter is wrong. */
    @Test
    void shouldRefuseCountersThatViolateTheLimit() {
      history.joinCounting("m1", "m2", "m3");
      history.accept(claim("m3", 6));
      history.expelSilent("m3", "m1");
      history.acknowledge("m1", totals("m3", 0, 50));
      history.acknowledge("m2");
      history.refuse(reclaim("m3"), ResultCode.INVARIANT_UPPER_LIMIT);
    }

    /** Guards against transfers of an old epoch that are settled in a new one. */
    @Test
    void shouldIgnoreCountersOfAnOlderEpoch() {
      history.joinCounting("m1", "m2", "m3");
      history.accept(claim("m3", 6));
      history.accept(new RecordBody.MemberLeft("m3"));
      TransferTotals old = totals("m3", 0, 4);
      history.acknowledge("m1", old);
      history.changeText(with(fleet(), "team red", "limit", "4"));
      history.acknowledge("m2", old);
      history.accept(reclaim("m3"));
      assertThat(base("m1")).isEqualTo(2);
      assertThat(base("m2")).isEqualTo(2);
    }

    /** Guards against a minority that reassigns units that the majority may still use. */
    @Test
    void shouldReclaimNothingWithoutAMajorityOfTheCountingSet() {
      history.joinCounting("m1", "m2", "m3", "m4");
      history.expelSilent("m2", "m1");
      history.expelSilent("m3", "m1");
      history.expelSilent("m4", "m1");
      history.acknowledge("m1");
      history.refuse(reclaim("m2", "m3", "m4"), ResultCode.NOT_SETTLED);
      history.accept(new RecordBody.MemberExpelled("m3", "m1", ExpulsionReason.GONE));
      history.accept(new RecordBody.MemberExpelled("m4", "m1", ExpulsionReason.GONE));
      history.refuse(reclaim("m2", "m3", "m4"), ResultCode.NOT_SETTLED);
      history.accept(new RecordBody.MemberExpelled("m2", "m1", ExpulsionReason.GONE));
      history.accept(reclaim("m2", "m3", "m4"));
    }

    @Test
    void shouldNotWaitForMembersThatJoinedLater() {
      history.joinCounting("m1", "m2", "m3");
      history.accept(new RecordBody.MemberLeft("m3"));
      history.join("m4");
      history.acknowledge("m1");
      history.acknowledge("m2");
      history.accept(reclaim("m3"));
    }
  }
}
