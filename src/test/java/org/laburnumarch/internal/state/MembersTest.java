package org.laburnumarch.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.ResultCode;

class MembersTest {

  private final ControlLogFixture fixture = ControlLogFixture.withFleet();

  private List<String> counting() {
    return CountingSet.of(fixture.state()).map(MemberEntry::memberId).asJava();
  }

  private RecordBody.MemberExpelled expulsion(String memberId, ExpulsionReason reason) {
    return new RecordBody.MemberExpelled(memberId, "m1", reason);
  }

  @Nested
  class WhenDaemonsJoin {

    @Test
    void shouldGiveTheLowestFreeSeat() {
      fixture.joinCounting("m1", "m2", "m3");
      fixture.accept(new RecordBody.MemberLeft("m2"));
      fixture.join("m4");
      assertThat(fixture.member("m4").seat()).isEqualTo(1);
    }

    /**
     * Guards against two holders of one seat, which would open too many connections to a minion.
     */
    @Test
    void shouldKeepTheSeatOfAnExpelledMemberUntilItIsReclaimed() {
      fixture.joinCounting("m1", "m2", "m3", "m4");
      fixture.expelSilent("m2", "m1");
      fixture.join("m5");
      assertThat(fixture.member("m5").isSeated()).isFalse();
      fixture.acknowledge("m1");
      fixture.acknowledge("m3");
      fixture.acknowledge("m4");
      fixture.accept(new RecordBody.AllowanceReclaimed(List.of("m2")));
      assertThat(fixture.member("m5").seat()).isEqualTo(1);
    }

    @Test
    void shouldRefuseAnIdThatIsInUse() {
      fixture.join("m1");
      fixture.refuse(
          new RecordBody.MemberJoined("m1", "i", "north", "a"), ResultCode.DUPLICATE_NAME);
    }

    @Test
    void shouldLimitTheNumberOfMembersWaitingForASeat() {
      for (int i = 0; i < 8; i++) {
        fixture.join("m" + i);
      }
      fixture.refuse(new RecordBody.MemberJoined("m8", "i", "north", "a"), ResultCode.NO_SEAT);
    }
  }

  @Nested
  class WhenTheCountingSetChanges {

    @Test
    void shouldCountTheFirstMemberImmediatelyAndOthersByMajority() {
      fixture.join("m1");
      fixture.join("m2");
      assertThat(counting()).containsExactly("m1");
      fixture.acknowledge("m1");
      assertThat(counting()).containsExactly("m1", "m2");
      fixture.join("m3");
      fixture.acknowledge("m1");
      assertThat(counting()).containsExactly("m1", "m2");
      fixture.acknowledge("m2");
      assertThat(counting()).containsExactly("m1", "m2", "m3");
    }

    /** Guards against two majorities that have no member in common. */
    @Test
    void shouldChangeOneMemberAtATimeInTheOrderOfTheLog() {
      fixture.joinCounting("m1", "m2", "m3");
      long joinedAt = fixture.join("m4");
      fixture.join("m5");
      fixture.accept(new RecordBody.MemberAcknowledged("m2", joinedAt + 1, List.of()));
      fixture.accept(new RecordBody.MemberAcknowledged("m1", joinedAt + 2, List.of()));
      assertThat(counting()).containsExactly("m1", "m2", "m3", "m4");
      fixture.acknowledge("m2");
      assertThat(counting()).doesNotContain("m5");
      fixture.acknowledge("m4");
      assertThat(counting()).contains("m5");
    }

    /** Guards against an acknowledgement of records that its author cannot have read. */
    @Test
    void shouldRefuseAnAcknowledgementOfLaterOffsets() {
      fixture.joinCounting("m1");
      fixture.refuse(
          new RecordBody.MemberAcknowledged("m1", fixture.state().nextOffset() + 1, List.of()),
          ResultCode.VALUE_OUT_OF_RANGE);
    }

    @Test
    void shouldKeepASilentMemberUntilAMajorityHasAcknowledgedItsExpulsion() {
      fixture.joinCounting("m1", "m2", "m3");
      fixture.expelSilent("m3", "m1");
      fixture.acknowledge("m1");
      assertThat(counting()).contains("m3");
      fixture.acknowledge("m2");
      assertThat(counting()).containsExactly("m1", "m2");
    }

    /**
     * Guards against new daemons that are blocked forever because all earlier members have
     * terminated.
     */
    @Test
    void shouldLetNewMembersReplaceATerminatedFleet() {
      fixture.joinCounting("m1", "m2", "m3");
      fixture.join("n1");
      for (String terminated : List.of("m1", "m2", "m3")) {
        fixture.accept(new RecordBody.MemberExpelled(terminated, "n1", ExpulsionReason.GONE));
      }
      assertThat(counting()).containsExactly("n1");
      fixture.acknowledge("n1");
      fixture.accept(new RecordBody.AllowanceReclaimed(List.of("m1", "m2", "m3")));
      assertThat(fixture.state().members().keySet()).containsExactly("n1");
    }

    /** Guards against a fleet whose last members cannot be stopped one after another. */
    @Test
    void shouldLetTheLastMembersLeave() {
      fixture.joinCounting("m1", "m2");
      fixture.accept(new RecordBody.MemberLeft("m2"));
      assertThat(counting()).containsExactly("m1");
      fixture.accept(new RecordBody.MemberLeft("m1"));
      fixture.join("n1");
      assertThat(counting()).containsExactly("n1");
    }

    @Test
    void shouldRemoveAnExpelledMemberFromTheCountingSetOnceItsInstanceIsRemoved() {
      fixture.joinCounting("m1", "m2");
      fixture.expelSilent("m2", "m1");
      fixture.acknowledge("m1");
      assertThat(counting()).contains("m2");
      fixture.accept(expulsion("m2", ExpulsionReason.GONE));
      assertThat(counting()).containsExactly("m1");
      fixture.refuse(expulsion("m2", ExpulsionReason.GONE), ResultCode.MEMBER_EXPELLED);
    }
  }

  @Nested
  class WhenAMemberIsSilent {

    /**
     * Guards against a partition in which both halves of the fleet expel each other immediately.
     */
    @Test
    void shouldExpelOnlyAfterTheRefutationTime() {
      fixture.joinCounting("m1", "m2");
      fixture.refuse(expulsion("m2", ExpulsionReason.SILENT), ResultCode.NOT_SUSPECTED);
      fixture.accept(new RecordBody.MemberSuspected("m2", "m1"));
      fixture.advance(MemberExpelledValidator.REFUTATION_MS - 1);
      fixture.refuse(new RecordBody.MemberSuspected("m2", "m1"), ResultCode.NO_CHANGE);
      fixture.refuse(expulsion("m2", ExpulsionReason.SILENT), ResultCode.NOT_SUSPECTED);
      fixture.advance(1);
      fixture.accept(expulsion("m2", ExpulsionReason.SILENT));
      fixture.refuse(new RecordBody.MemberAlive("m2"), ResultCode.MEMBER_EXPELLED);
    }

    @Test
    void shouldClearARefutedSuspicion() {
      fixture.joinCounting("m1", "m2");
      fixture.accept(new RecordBody.MemberSuspected("m2", "m1"));
      fixture.accept(new RecordBody.MemberAlive("m2"));
      fixture.advance(MemberExpelledValidator.REFUTATION_MS);
      fixture.refuse(expulsion("m2", ExpulsionReason.SILENT), ResultCode.NOT_SUSPECTED);
      fixture.refuse(new RecordBody.MemberAlive("m2"), ResultCode.NOT_SUSPECTED);
    }

    /**
     * Guards against a fleet that no daemon can join after the loss of more daemons than there are
     * seats.
     */
    @Test
    void shouldLetADaemonThatHasNotJoinedExpelTerminatedMembers() {
      fixture.joinCounting("m1", "m2");
      fixture.accept(new RecordBody.MemberExpelled("m1", "newcomer", ExpulsionReason.GONE));
      fixture.refuse(
          new RecordBody.MemberExpelled("m2", "newcomer", ExpulsionReason.SILENT),
          ResultCode.MEMBER_UNKNOWN);
    }

    /** Guards against an expelled member that expels others when it resumes. */
    @Test
    void shouldRefuseRecordsOfDepartedMembers() {
      fixture.joinCounting("m1", "m2", "m3");
      fixture.accept(new RecordBody.MemberLeft("m1"));
      fixture.refuse(new RecordBody.MemberSuspected("m2", "m1"), ResultCode.MEMBER_EXPELLED);
      fixture.refuse(expulsion("m2", ExpulsionReason.GONE), ResultCode.MEMBER_EXPELLED);
      fixture.refuse(
          new RecordBody.MemberAcknowledged("m1", 3, List.of()), ResultCode.MEMBER_EXPELLED);
      fixture.refuse(new RecordBody.MemberAlive("mx"), ResultCode.MEMBER_UNKNOWN);
    }
  }
}
