package org.laburnumarch.internal.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laburnumarch.internal.state.TestTexts.change;
import static org.laburnumarch.internal.state.TestTexts.fleet;
import static org.laburnumarch.internal.state.TestTexts.with;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.Envelope;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordCodec;
import org.laburnumarch.internal.state.SnapshotCodec;
import org.laburnumarch.internal.state.TestTexts;
import org.laburnumarch.internal.text.TextSections;

class LogFollowerTest {

  private static final RecordBody OUT = new RecordBody.DataCentreTakenOut("north");

  private final FakeLog log = new FakeLog();
  private final TestDaemon daemon = new TestDaemon(log, "m1");

  @BeforeEach
  void publishText() {
    append("text", change(0, TextSections.empty(), fleet()));
  }

  private long append(String operationId, RecordBody body) {
    return log.append(RecordCodec.encode(new Envelope(operationId, "ada", 0, body)).get());
  }

  private boolean isNorthOut(TestDaemon which) {
    return which.follower.state().dataCentres().get("north").exists(d -> d.isOut());
  }

  @Nested
  class WhenReading {

    /** Guards against a late response that makes the state look fresher than it is. */
    @Test
    void shouldConfirmTheTailAsOfTheSendTimeOfTheRead() {
      assertThat(daemon.follower.tailConfirmedAtMs()).isEqualTo(LogFollower.NEVER_CONFIRMED);
      daemon.collect(daemon.follower.onReadResponse(log.read(0, 10), 1_000, 1_900));
      assertThat(daemon.follower.tailConfirmedAtMs()).isEqualTo(1_000);
      daemon.read(10);
      daemon.collect(daemon.follower.onReadResponse(log.read(1, 10), 400, 2_000));
      assertThat(daemon.follower.tailConfirmedAtMs()).isEqualTo(1_000);
    }

    @Test
    void shouldNotConfirmTheTailBeforeReachingIt() {
      append("out", OUT);
      daemon.tick(0);
      daemon.read(1);
      assertThat(daemon.follower.tailConfirmedAtMs()).isEqualTo(LogFollower.NEVER_CONFIRMED);
      daemon.read(1);
      assertThat(daemon.follower.tailConfirmedAtMs()).isZero();
    }

    @Test
    void shouldRetryAFailedRead() {
      daemon.tick(0);
      assertThat(daemon.follower.onReadFailure(10)).isEmpty();
      assertThat(daemon.follower.onTick(100)).isEmpty();
      assertThat(daemon.follower.onTick(210)).containsExactly(new LogEffect.Read(0));
    }

    /** Guards against treating a log that lost records as up to date. */
    @Test
    void shouldRaiseAnAlarmWhenTheLogLosesRecords() {
      append("out", OUT);
      daemon.catchUp();
      daemon.tick(100);
      log.loseFrom(1);
      daemon.read(10);
      daemon.tick(300);
      daemon.read(10);
      assertThat(daemon.alarms).hasSize(1);
      assertThat(daemon.follower.tailConfirmedAtMs()).isLessThan(daemon.nowMs - 300);
    }

    @Test
    void shouldApplyRecordsOfPeersWithoutConfirmingTheTail() {
      append("out", OUT);
      daemon.collect(daemon.follower.onPeerRecords(log.records(1, 2), 0));
      assertThat(daemon.follower.state().nextOffset()).isZero();
      daemon.collect(daemon.follower.onPeerRecords(log.records(0, 2), 0));
      daemon.collect(daemon.follower.onPeerRecords(log.records(0, 2), 0));
      assertThat(isNorthOut(daemon)).isTrue();
      assertThat(daemon.follower.tailConfirmedAtMs()).isEqualTo(LogFollower.NEVER_CONFIRMED);
      assertThat(daemon.follower.recordsFrom(1, 10_000)).isEqualTo(log.records(1, 2));
      assertThat(daemon.follower.recordsFrom(1, 10)).isEmpty();
      assertThat(daemon.follower.recordsFrom(2, 10_000)).isEmpty();
    }
  }

  @Nested
  class WhenAResponseIsLost {

    @Test
    void shouldDetectAnAppendThatTookEffect() {
      daemon.catchUp();
      daemon.submit("op", OUT);
      log.append(daemon.appends.remove(0).bytes());
      daemon.collect(daemon.follower.onAppendFailure("op", true, daemon.nowMs));
      daemon.catchUp();
      daemon.tick(1_000);
      assertThat(daemon.results.get("op").isAccepted()).isTrue();
      assertThat(daemon.appends).isEmpty();
    }

    /**
     * Guards against records that are lost because no append is repeated, and against duplicates.
     */
    @Test
    void shouldRepeatAnAppendOnlyAfterReadingPastTheTail() {
      daemon.catchUp();
      daemon.submit("op", OUT);
      daemon.appends.clear();
      var sentBefore = log.read(1, 10);
      daemon.nowMs += 500;
      daemon.collect(daemon.follower.onAppendFailure("op", true, daemon.nowMs));
      daemon.respond(sentBefore, daemon.nowMs - 1);
      daemon.nowMs += 1_000;
      assertThat(daemon.appends).isEmpty();
      append("other", new RecordBody.KeyRevoked("k"));
      append("more", new RecordBody.KeyRevoked("k"));
      daemon.respond(log.read(1, 1), daemon.nowMs);
      assertThat(daemon.appends).isEmpty();
      daemon.respond(log.read(2, 1), daemon.nowMs);
      assertThat(daemon.appends).hasSize(1);
      daemon.append();
      daemon.respond(log.read(3, 1), daemon.nowMs);
      assertThat(daemon.results.get("op").isAccepted()).isTrue();
    }

    /** Guards against a duplicate that arrives late and reverts changes made in between. */
    @Test
    void shouldIgnoreALateDuplicate() {
      daemon.catchUp();
      daemon.submit("op", OUT);
      byte[] late = daemon.appends.remove(0).bytes();
      daemon.collect(daemon.follower.onAppendFailure("op", true, daemon.nowMs));
      daemon.catchUp();
      daemon.tick(300);
      daemon.append();
      daemon.catchUp();
      daemon.run("back", new RecordBody.DataCentreReturned("north"));
      log.append(late);
      daemon.catchUp();
      assertThat(isNorthOut(daemon)).isFalse();
      assertThat(daemon.results).hasSize(2);
    }

    @Test
    void shouldReturnTheFirstResultForARepeatedCommand() {
      daemon.run("op", OUT);
      var first = daemon.results.remove("op");
      daemon.submit("op", OUT);
      assertThat(daemon.appends).isEmpty();
      assertThat(daemon.results.get("op")).isEqualTo(first);
    }

    @Test
    void shouldAbandonOperationsAtTheDeadline() {
      daemon.submit("unknown", OUT);
      daemon.submit("never sent", OUT);
      daemon.collect(daemon.follower.onAppendFailure("unknown", true, 0));
      daemon.collect(daemon.follower.onAppendFailure("never sent", false, 0));
      daemon.tick(LogFollower.MAX_OPERATION_MS - 1);
      assertThat(daemon.abandoned).isEmpty();
      daemon.collect(daemon.follower.onAppendFailure("never sent", false, daemon.nowMs));
      daemon.tick(1);
      assertThat(daemon.abandoned.get("unknown").code())
          .isEqualTo(ResultCode.APPEND_OUTCOME_UNKNOWN);
      assertThat(daemon.abandoned.get("never sent").code()).isEqualTo(ResultCode.LOG_UNAVAILABLE);
    }
  }

  @Nested
  class WhenTwoDaemonsRace {

    private final TestDaemon other = new TestDaemon(log, "m2");

    /** Guards against two concurrent changes that are both reported as accepted. */
    @Test
    void shouldAcceptOnlyOneOfTwoChangesBasedOnTheSameVersion() {
      daemon.submit("a", change(1, fleet(), with(fleet(), "team red", "limit", "11")));
      other.submit("b", change(1, fleet(), with(fleet(), "team red", "limit", "12")));
      other.append();
      daemon.append();
      daemon.catchUp();
      other.catchUp();
      assertThat(other.results.get("b").isAccepted()).isTrue();
      assertThat(daemon.results.get("a").code()).isEqualTo(ResultCode.STALE_BASE_VERSION);
      assertThat(daemon.digest()).isEqualTo(other.digest());
    }

    @Test
    void shouldAcceptConcurrentSnapshotsWithoutAnAlarm() {
      daemon.catchUp();
      other.catchUp();
      var first = daemon.snapshot();
      append("in between", OUT);
      other.catchUp();
      other.run("s2", other.snapshot());
      daemon.run("s1", first);
      other.catchUp();
      assertThat(daemon.digest()).isEqualTo(other.digest());
      assertThat(daemon.alarms).isEmpty();
      assertThat(other.alarms).isEmpty();
    }

    /** Guards against undetected divergence between daemons of different versions. */
    @Test
    void shouldRaiseAnAlarmForADifferingSnapshot() {
      daemon.catchUp();
      byte[] empty = new SnapshotCodec(TestTexts.CHECKER).encode(ControlState.empty());
      var wrong = new RecordBody.SnapshotTaken(0, empty);
      append("s", wrong);
      daemon.catchUp();
      assertThat(daemon.alarms).hasSize(1);
      assertThat(daemon.follower.state().textVersion()).isEqualTo(1);
    }
  }

  @Nested
  class WhenRetentionOvertakesAReader {

    private final TestDaemon slow = new TestDaemon(log, "m2");

    @Test
    void shouldRestartFromTheNewestSnapshot() {
      slow.catchUp();
      daemon.run("s1", daemon.snapshot());
      daemon.run("out", OUT);
      daemon.run("s2", daemon.snapshot());
      daemon.run("key", new RecordBody.KeyGranted("k", "red", "a".repeat(64)));
      log.retainFrom(3);
      slow.catchUp();
      assertThat(slow.digest()).isEqualTo(daemon.digest());
    }

    /** Guards against an older snapshot that restores an older configuration. */
    @Test
    void shouldConfirmTheTailOnlyAfterApplyingAllRecordsSinceAnOldSnapshot() {
      daemon.catchUp();
      var old = daemon.snapshot();
      daemon.run("change", change(1, fleet(), with(fleet(), "team red", "limit", "99")));
      daemon.run("old", old);
      log.retainFrom(1);
      slow.tick(100);
      while (slow.follower.tailConfirmedAtMs() == LogFollower.NEVER_CONFIRMED) {
        slow.tick(100);
        slow.read(1);
      }
      assertThat(slow.follower.state().textVersion()).isEqualTo(2);
      assertThat(slow.digest()).isEqualTo(daemon.digest());
    }

    @Test
    void shouldWaitForAValidSnapshot() {
      daemon.run("s1", daemon.snapshot());
      daemon.run("out", OUT);
      log.retainFrom(2);
      for (int i = 0; i < 10; i++) {
        slow.tick(100);
        slow.read(10);
      }
      assertThat(slow.follower.tailConfirmedAtMs()).isEqualTo(LogFollower.NEVER_CONFIRMED);
      daemon.run("s2", daemon.snapshot());
      slow.catchUp();
      assertThat(slow.digest()).isEqualTo(daemon.digest());
    }

    @Test
    void shouldContinueWithRecordsOfPeers() {
      slow.catchUp();
      daemon.run("out", OUT);
      daemon.run("key", new RecordBody.KeyGranted("k", "red", "a".repeat(64)));
      log.retainFrom(2);
      slow.tick(100);
      slow.read(10);
      slow.collect(slow.follower.onPeerRecords(daemon.follower.recordsFrom(1, 10_000), slow.nowMs));
      slow.catchUp();
      assertThat(slow.digest()).isEqualTo(daemon.digest());
    }
  }

  @Nested
  class WhenPeersSendAState {

    private final TestDaemon other = new TestDaemon(log, "m2");

    /** Guards against a running daemon that is reset to an older state. */
    @Test
    void shouldIgnoreAStateThatIsNotAheadOfItsOwn() {
      daemon.catchUp();
      var old = daemon.snapshot();
      daemon.run("out", OUT);
      daemon.collect(daemon.follower.onPeerSnapshot(1, old.state(), daemon.nowMs));
      assertThat(daemon.follower.state().nextOffset()).isEqualTo(2);
      daemon.collect(daemon.follower.onPeerSnapshot(9, old.state(), daemon.nowMs));
      daemon.collect(daemon.follower.onPeerSnapshot(9, new byte[] {1, 2}, daemon.nowMs));
      daemon.run("old", old);
      assertThat(isNorthOut(daemon)).isTrue();
      assertThat(daemon.follower.state().nextOffset()).isEqualTo(3);
    }

    @Test
    void shouldInstallANewerStateWithItsResults() {
      other.submit("op", OUT);
      log.append(other.appends.remove(0).bytes());
      daemon.catchUp();
      other.collect(other.follower.onPeerSnapshot(2, daemon.snapshot().state(), 0));
      assertThat(other.digest()).isEqualTo(daemon.digest());
      assertThat(other.results.get("op").isAccepted()).isTrue();
      assertThat(other.follower.tailConfirmedAtMs()).isEqualTo(LogFollower.NEVER_CONFIRMED);
    }
  }

  @Nested
  class WhenSnapshotsAreDue {

    private void join(String memberId) {
      append("join " + memberId, new RecordBody.MemberJoined(memberId, "i", "north", "a"));
    }

    /** Guards against all daemons taking the same snapshot. */
    @Test
    void shouldRequestASnapshotFromTheLowestSeatFirst() {
      TestDaemon second = new TestDaemon(log, "m2");
      join("m1");
      join("m2");
      daemon.catchUp();
      second.catchUp();
      for (int i = 0; i <= SnapshotSchedule.MAX_RECORDS; i++) {
        append("k" + i, new RecordBody.KeyRevoked("k"));
      }
      daemon.catchUp();
      second.catchUp();
      daemon.tick(100);
      assertThat(daemon.snapshotsDue).hasSize(1);
      assertThat(second.snapshotsDue).isEmpty();
      daemon.run("s", daemon.snapshot());
      second.catchUp();
      for (int i = 0; i < SnapshotSchedule.RECORDS_PER_SEAT; i++) {
        append("l" + i, new RecordBody.KeyRevoked("k"));
      }
      second.catchUp();
      assertThat(second.snapshotsDue).isEmpty();
    }

    /** Guards against losing the only snapshot of an idle log to retention. */
    @Test
    void shouldRepeatSnapshotRequestsByAge() {
      join("m1");
      daemon.catchUp();
      daemon.nowMs += TestDaemon.RETENTION_MS / 4 + 1;
      daemon.catchUp();
      assertThat(daemon.snapshotsDue).hasSize(1);
      daemon.nowMs += SnapshotSchedule.RETRY_MS;
      daemon.catchUp();
      assertThat(daemon.snapshotsDue).hasSize(2);
      daemon.run("s", daemon.snapshot());
      daemon.catchUp();
      assertThat(daemon.snapshotsDue).hasSize(2);
    }

    /** Guards against snapshots of daemons that cannot reach the log or have no seat. */
    @Test
    void shouldNotRequestSnapshotsFromStaleOrUnseatedDaemons() {
      daemon.catchUp();
      daemon.tick(TestDaemon.RETENTION_MS);
      daemon.catchUp();
      assertThat(daemon.snapshotsDue).isEmpty();
      join("m1");
      daemon.catchUp();
      daemon.snapshotsDue.clear();
      daemon.tick(TestDaemon.RETENTION_MS);
      assertThat(daemon.snapshotsDue).isEmpty();
    }
  }

  @Test
  void shouldRefuseARecordThatIsTooLarge() {
    var tooLong = new RecordBody.SnapshotTaken(0, new byte[RecordCodec.MAX_RECORD_BYTES]);
    daemon.submit("op", tooLong);
    assertThat(daemon.abandoned.get("op").code()).isEqualTo(ResultCode.RECORD_MALFORMED);
    assertThat(List.copyOf(daemon.appends)).isEmpty();
  }
}
