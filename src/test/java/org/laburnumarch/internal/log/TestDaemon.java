package org.laburnumarch.internal.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.laburnumarch.Refusal;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.Envelope;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.SnapshotCodec;
import org.laburnumarch.internal.state.StateDigest;
import org.laburnumarch.internal.state.TestTexts;
import org.laburnumarch.internal.state.Verdict;
import org.laburnumarch.spi.LogPage;

/** A follower whose effects a test carries out by hand, on virtual time. */
final class TestDaemon {

  static final long RETENTION_MS = 400_000;

  final LogFollower follower;
  final String memberId;
  final List<LogEffect.Append> appends = new ArrayList<>();
  final Map<String, Verdict> verdicts = new LinkedHashMap<>();
  final Map<String, Refusal> givenUp = new LinkedHashMap<>();
  final List<Refusal> alarms = new ArrayList<>();
  final List<ControlState> snapshotsDue = new ArrayList<>();
  long nowMs;
  private final FakeLog log;
  private long wantedOffset = -1;

  TestDaemon(FakeLog log, String memberId) {
    this.log = log;
    this.memberId = memberId;
    this.follower = new LogFollower(TestTexts.CHECKER, memberId, RETENTION_MS);
  }

  void take(List<LogEffect> effects) {
    for (LogEffect effect : effects) {
      if (effect instanceof LogEffect.Read read) {
        assertThat(wantedOffset).as("one read at a time").isEqualTo(-1);
        wantedOffset = read.fromOffset();
      } else if (effect instanceof LogEffect.Append append) {
        appends.add(append);
      } else if (effect instanceof LogEffect.VerdictKnown known) {
        assertThat(verdicts.put(known.operationId(), known.verdict())).isNull();
      } else if (effect instanceof LogEffect.GivenUp up) {
        givenUp.put(up.operationId(), up.refusal());
      } else if (effect instanceof LogEffect.AlarmRaised alarm) {
        alarms.add(alarm.refusal());
      } else if (effect instanceof LogEffect.SnapshotDue due) {
        snapshotsDue.add(due.state());
      }
    }
  }

  void submit(String operationId, RecordBody body) {
    take(follower.submit(new Envelope(operationId, memberId, 0, body), nowMs));
  }

  void tick(long ms) {
    nowMs += ms;
    take(follower.tick(nowMs));
  }

  /** Answers the outstanding read, if there is one. */
  void read(int maxRecords) {
    if (wantedOffset >= 0) {
      long from = wantedOffset;
      wantedOffset = -1;
      take(follower.readAnswered(log.read(from, maxRecords), nowMs, nowMs));
    }
  }

  /** Answers the outstanding read with a page. */
  void answer(LogPage page, long sentAtMs) {
    wantedOffset = -1;
    take(follower.readAnswered(page, sentAtMs, nowMs));
  }

  /** Reads until nothing is new. */
  void catchUp() {
    for (int i = 0; i < 100_000; i++) {
      tick(100);
      read(100);
      if (follower.tailConfirmedAtMs() == nowMs) {
        return;
      }
    }
    throw new AssertionError("the tail is never reached");
  }

  /** Carries out all appends that were asked for. */
  void append() {
    for (LogEffect.Append append : List.copyOf(appends)) {
      appends.remove(append);
      long offset = log.append(append.bytes());
      take(follower.appendAnswered(append.operationId(), offset, nowMs));
    }
  }

  void run(String operationId, RecordBody body) {
    submit(operationId, body);
    append();
    catchUp();
  }

  RecordBody.SnapshotTaken snapshot() {
    ControlState state = follower.state();
    return new RecordBody.SnapshotTaken(
        state.nextOffset() - 1, new SnapshotCodec(TestTexts.CHECKER).encode(state));
  }

  String digest() {
    return StateDigest.of(follower.state());
  }
}
