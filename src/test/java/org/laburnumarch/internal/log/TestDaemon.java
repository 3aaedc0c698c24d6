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
import org.laburnumarch.internal.state.RecordResult;
import org.laburnumarch.internal.state.SnapshotCodec;
import org.laburnumarch.internal.state.StateDigest;
import org.laburnumarch.internal.state.TestTexts;
import org.laburnumarch.spi.LogPage;

/** Wraps a follower and collects its effects, which the test performs step by step. */
final class TestDaemon {

  static final long RETENTION_MS = 400_000;

  final LogFollower follower;
  final String memberId;
  final List<LogEffect.Append> appends = new ArrayList<>();
  final Map<String, RecordResult> results = new LinkedHashMap<>();
  final Map<String, Refusal> abandoned = new LinkedHashMap<>();
  final List<Refusal> alarms = new ArrayList<>();
  final List<ControlState> snapshotsDue = new ArrayList<>();
  long nowMs;
  private final FakeLog log;
  private long requestedOffset = -1;

  TestDaemon(FakeLog log, String memberId) {
    this.log = log;
    this.memberId = memberId;
    this.follower = new LogFollower(TestTexts.CHECKER, memberId, RETENTION_MS);
  }

  void collect(List<LogEffect> effects) {
    for (LogEffect effect : effects) {
      if (effect instanceof LogEffect.Read read) {
        assertThat(requestedOffset).as("one read at a time").isEqualTo(-1);
        requestedOffset = read.fromOffset();
      } else if (effect instanceof LogEffect.Append append) {
        appends.add(append);
      } else if (effect instanceof LogEffect.OperationCompleted completed) {
        assertThat(results.put(completed.operationId(), completed.result())).isNull();
      } else if (effect instanceof LogEffect.OperationAbandoned operation) {
        abandoned.put(operation.operationId(), operation.refusal());
      } else if (effect instanceof LogEffect.AlarmRaised alarm) {
        alarms.add(alarm.refusal());
      } else if (effect instanceof LogEffect.SnapshotDue due) {
        snapshotsDue.add(due.state());
      }
    }
  }

  void submit(String operationId, RecordBody body) {
    collect(follower.submit(new Envelope(operationId, memberId, 0, body), nowMs));
  }

  void tick(long ms) {
    nowMs += ms;
    collect(follower.onTick(nowMs));
  }

  /** Responds to the outstanding read, if any, with records of the log. */
  void read(int maxRecords) {
    if (requestedOffset >= 0) {
      long from = requestedOffset;
      requestedOffset = -1;
      collect(follower.onReadResponse(log.read(from, maxRecords), nowMs, nowMs));
    }
  }

  /** Responds to the outstanding read with the given page. */
  void respond(LogPage page, long sentAtMs) {
    requestedOffset = -1;
    collect(follower.onReadResponse(page, sentAtMs, nowMs));
  }

  /** Reads until the tail is reached. */
  void catchUp() {
    for (int i = 0; i < 100_000; i++) {
      tick(100);
      read(100);
      if (follower.tailConfirmedAtMs() == nowMs) {
        return;
      }
    }
    throw new AssertionError("the follower did not reach the tail");
  }

  /** Performs all requested appends. */
  void append() {
    for (LogEffect.Append append : List.copyOf(appends)) {
      appends.remove(append);
      long offset = log.append(append.bytes());
      collect(follower.onAppendResponse(append.operationId(), offset, nowMs));
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
