package org.laburnumarch.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.ResultCode;

class MembersTest {

  private final History history = History.withFleet();

  private List<String> counting() {
    return CountingSet.of(history.state()).map(MemberEntry::memberId).asJava();
  }

  private RecordBody.MemberExpelled expulsion(String memberId, ExpulsionReason reason) {
    return new RecordBody.MemberExpelled(memberId, "m1", reason);
  }

  @Nested
  class WhenDaemonsJoin {

    @Test
    void shouldGiveTheLowestFreeSeat() {
      history.joinCounting("m1", "m2", "m3");
      history.accept(new RecordBody.MemberLeft("m2"));
      history.join("m4");
      assertThat(history.member("m4").seat()).isEqualTo(1);
    }

    /**
     * Guards against two holders of one seat, which would open too many connections to a minion.
     */
    @Test
    void shouldKeepTheSeatOfAnExpelledMemberUntilItIsReclaimed() {
      history.joinCounting("m1", "m2", "m3", "m4");
      history.expelSilent("m2", "m1");
      history.join("m5");
      assertThat(history.member("m5").isSeated()).isFalse();
      history.acknowledge("m1");
      history.acknowledge("m3");
      history.acknowledge("m4");
      history.accept(new RecordBody.AllowanceReclaimed(List.of("m2")));
      assertThat(history.member("m5").seat()).isEqualTo(1);
    }

    @Test
    void shouldRefuseAnIdThatIsInUse() {
      history.join("m1");
      history.refuse(
          new RecordBody.MemberJoined("m1", "i", "north", "a"), ResultCode.DUPLICATE_NAME);
    }

    @Test
    void shouldLimitTheNumberOfMembersWaitingForASeat() {
      for (int i = 0; i < 8; i++) {
        history.join("m" + i);
      }
      history.refuse(new RecordBody.MemberJoined("m8", "i", "north", "a"), ResultCode.NO_SEAT);
    }
  }

  @Nested
  class WhenTheCountingSetChanges {

    @Test
    void shouldCountTheFirstMemberImmediatelyAndOthersByMajority() {
      history.join("m1");
      history.join("m2");
      assertThat(counting()).containsExactly("m1");
      history.acknowledge("m1");
      assertThat(counting()).containsExactly("m1", "m2");
      history.join("m3");
      history.acknowledge("m1");
      assertThat(counting()).containsExactly("m1", "m2");
      history.acknowledge("m2");
      assertThat(counting()).containsExactly("m1", "m2", "m3");
    }

    /** Guards against two majorities that have no member in common. */
    @Test
    void shouldChangeOneMemberAtATimeInTheOrderOfTheLog() {
      history.joinCounting("m1", "m2", "m3");
      long joinedAt = history.join("m4");
      history.join("m5");
      history.accept(new RecordBody.MemberAcknowledged("m2", joinedAt + 1, List.of()));
      history.accept(new RecordBody.MemberAcknowledged("m1", joinedAt + 2, List.of()));
      assertThat(counting()).containsExactly("m1", "m2", "m3", "m4");
      history.acknowledge("m2");
      assertThat(counting()).doesNotContain("m5");
      history.acknowledge("m4");
      assertThat(counting()).contains("m5");
    }

    /** Guards against an acknowledgement of records that its author cannot have read. */
    @Test
    void shouldRefuseAnAcknowledgementOfLaterOffsets() {
      history.joinCounting("m1");
      history.refuse(
          new RecordBody.MemberAcknowledged("m1", history.state().nextOffset() + 1, List.of()),
          ResultCode.VALUE_OUT_OF_RANGE);
    }

    @Test
    void shouldKeepASilentMemberUntilAMajorityHasAcknowledgedItsExpulsion() {
      history.joinCounting("m1", "m2", "m3");
      history.expelSilent("m3", "m1");
      history.acknowledge("m1");
      assertThat(counting()).contains("m3");
      history.acknowledge("m2");
      assertThat(counting()).containsExactly("m1", "m2");
    }

    /**
     * Guards against new daemons that are blocked forever because all earlier members have
     * terminated.
     */
    @Test
    void shouldLetNewMembersReplaceATerminatedFleet() {
      history.joinCounting("m1", "m2", "m3");
      history.join("n1");
      for (String terminated : List.of("m1", "m2", "m3")) {
        history.accept(new RecordBody.MemberExpelled(terminated, "n1", ExpulsionReason.GONE));
      }
      assertThat(counting()).containsExactly("n1");
      history.acknowledge("n1");
      history.accept(new RecordBody.AllowanceReclaimed(List.of("m1", "m2", "m3")));
      assertThat(history.state().members().keySet()).containsExactly("n1");
    }

    /** Guards against a fleet whose last members cannot be stopped one after another. */
    @Test
    void shouldLetTheLastMembersLeave() {
      history.joinCounting("m1", "m2");
      history.accept(new RecordBody.MemberLeft("m2"));
      assertThat(counting()).containsExactly("m1");
      history.accept(new RecordBody.MemberLeft("m1"));
      history.join("n1");
      assertThat(counting()).containsExactly("n1");
    }

    @Test
    void shouldRemoveAnExpelledMemberFromTheCountingSetOnceItsInstanceIsRemoved() {
      history.joinCounting("m1", "m2");
      history.expelSilent("m2", "m1");
      history.acknowledge("m1");
      assertThat(counting()).contains("m2");
      history.accept(expulsion("m2", ExpulsionReason.GONE));
      assertThat(counting()).containsExactly("m1");
      history.refuse(expulsion("m2", ExpulsionReason.GONE), ResultCode.MEMBER_EXPELLED);
    }
  }

  @Nested
  class WhenAMemberIsSilent {

    /**
     * Guards against a partition in which both halves of the fleet expel each other immediately.
     */
    @Test
    void shouldExpelOnlyAfterTheRefutationTime() {
      history.joinCounting("m1", "m2");
      history.refuse(expulsion("m2", ExpulsionReason.SILENT), ResultCode.NOT_SUSPECTED);
      history.accept(new RecordBody.MemberSuspected("m2", "m1"));
      history.advance(MemberExpelledValidator.REFUTATION_MS - 1);
      history.refuse(new RecordBody.MemberSuspected("m2", "m1"), ResultCode.NO_CHANGE);
      history.refuse(expulsion("m2", ExpulsionReason.SILENT), ResultCode.NOT_SUSPECTED);
      history.advance(1);
      history.accept(expulsion("m2", ExpulsionReason.SILENT));
      history.refuse(new RecordBody.MemberAlive("m2"), ResultCode.MEMBER_EXPELLED);
    }

    @Test
    void shouldClearARefutedSuspicion() {
      history.joinCounting("m1", "m2");
      history.accept(new RecordBody.MemberSuspected("m2", "m1"));
      history.accept(new RecordBody.MemberAlive("m2"));
      history.advance(MemberExpelledValidator.REFUTATION_MS);
      history.refuse(expulsion("m2", ExpulsionReason.SILENT), ResultCode.NOT_SUSPECTED);
      history.refuse(new RecordBody.MemberAlive("m2"), ResultCode.NOT_SUSPECTED);
    }

    /**
     * Guards against a fleet that no daemon can join after the loss of more daemons than there are
     * seats.
     */
    @Test
    void shouldLetADaemonThatHasNotJoinedExpelTerminatedMembers() {
      history.joinCounting("m1", "m2");
      history.accept(new RecordBody.MemberExpelled("m1", "newcomer", ExpulsionReason.GONE));
      history.refuse(
          new RecordBody.MemberExpelled("m2", "newcomer", ExpulsionReason.SILENT),
          ResultCode.MEMBER_UNKNOWN);
    }

    /** Guards against an expelled member that expels others when it resumes. */
    @Test
    void shouldRefuseRecordsOfDepartedMembers() {
      history.joinCounting("m1", "m2", "m3");
      history.accept(new RecordBody.MemberLeft("m1"));
      history.refuse(new RecordBody.MemberSuspected("m2", "m1"), ResultCode.MEMBER_EXPELLED);
      history.refuse(expulsion("m2", ExpulsionReason.GONE), ResultCode.MEMBER_EXPELLED);
      history.refuse(
          new RecordBody.MemberAcknowledged("m1", 3, List.of()), ResultCode.MEMBER_EXPELLED);
      history.refuse(new RecordBody.MemberAlive("mx"), ResultCode.MEMBER_UNKNOWN);
    }
  }
}
