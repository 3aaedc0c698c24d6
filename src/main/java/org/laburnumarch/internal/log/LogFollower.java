package org.laburnumarch.internal.log;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.laburnumarch.Outcome;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.state.Applied;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.ControlStateMachine;
import org.laburnumarch.internal.state.Envelope;
import org.laburnumarch.internal.state.MemberEntry;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordCodec;
import org.laburnumarch.internal.state.SnapshotCodec;
import org.laburnumarch.internal.state.StateDigest;
import org.laburnumarch.internal.text.TextChecker;
import org.laburnumarch.spi.LogPage;
import org.laburnumarch.spi.LogRecord;
import org.tinylog.Logger;

/**
 * Follows the control log and owns the current state.
 *
 * <p>All methods take the current monotonic time, do no I/O and return what is to be done. Not
 * thread-safe.
 */
public final class LogFollower {

  /** Value of {@link #tailConfirmedAtMs()} before the tail was reached for the first time. */
  public static final long NEVER_CONFIRMED = Long.MIN_VALUE / 4;

  /** The longest time that an operation is followed, in milliseconds. */
  public static final long MAX_OPERATION_MS = 30_000;

  private static final long READ_RETRY_MS = 200;

  /** Spaces out reads if the log answers without waiting though it has nothing new. */
  private static final long IDLE_READ_MS = 50;

  /** Only a daemon that has seen the tail within this time takes a snapshot. */
  private static final long SNAPSHOT_FRESHNESS_MS = 3_000;

  private final ControlStateMachine machine;
  private final SnapshotCodec snapshots;
  private String memberId;
  private final PendingOperations pending = new PendingOperations();
  private final RecentRecords recentRecords = new RecentRecords();
  private final RecentStates recentStates = new RecentStates();
  private final SnapshotSchedule schedule;

  private ControlState state = ControlState.empty();
  private Optional<StartScan> scan = Optional.empty();
  private boolean isReading;
  private long readFromOffset;
  private long readDueAtMs = Long.MIN_VALUE;
  private long tailConfirmedAtMs = NEVER_CONFIRMED;
  private boolean isRegressionReported;

  /**
   * Creates a follower that starts with an empty state.
   *
   * @param memberId author of this daemon's own snapshots
   * @param retentionMs how long the log keeps records
   */
  public LogFollower(TextChecker checker, String memberId, long retentionMs) {
    this.machine = new ControlStateMachine(checker);
    this.snapshots = new SnapshotCodec(checker);
    this.memberId = memberId;
    this.schedule = new SnapshotSchedule(retentionMs);
  }

  /** Sets the member whose seat staggers snapshots; a daemon that was expelled becomes another. */
  public void actAs(String newMemberId) {
    memberId = newMemberId;
  }

  /** Appends a record and follows it until it is judged, at most {@link #MAX_OPERATION_MS}. */
  public List<LogEffect> submit(Envelope envelope, long nowMs) {
    return submit(envelope, nowMs + MAX_OPERATION_MS, nowMs);
  }

  /** As {@link #submit(Envelope, long)}, with an earlier deadline. */
  public List<LogEffect> submit(Envelope envelope, long deadlineMs, long nowMs) {
    List<LogEffect> effects = new ArrayList<>();
    Either<Refusal, byte[]> encoded = RecordCodec.encode(envelope);
    if (encoded.isLeft()) {
      effects.add(new LogEffect.GivenUp(envelope.operationId(), encoded.getLeft()));
    } else {
      long boundedMs = Math.min(deadlineMs, nowMs + MAX_OPERATION_MS);
      effects.addAll(pending.submit(state, envelope.operationId(), encoded.get(), boundedMs));
    }
    return effects;
  }

  /** Takes the answer to a read that was sent at {@code sentAtMs}. */
  public List<LogEffect> readAnswered(LogPage page, long sentAtMs, long nowMs) {
    List<LogEffect> effects = new ArrayList<>();
    isReading = false;
    if (page.tailOffset() < readFromOffset) {
      reportRegression(page, effects);
      readDueAtMs = nowMs + READ_RETRY_MS;
      return proceed(nowMs, effects);
    }
    isRegressionReported = false;
    readDueAtMs = page.records().isEmpty() ? sentAtMs + IDLE_READ_MS : nowMs;
    pending.sawTail(page.tailOffset(), sentAtMs);
    if (page.firstRetainedOffset() > state.nextOffset() && scan.isEmpty()) {
      Logger.info("log: offset {} is not retained, looking for a snapshot", state.nextOffset());
      scan = Optional.of(new StartScan(snapshots, page.firstRetainedOffset()));
      readDueAtMs = nowMs;
    }
    if (scan.isPresent()) {
      scan.get().take(page).ifPresent(found -> install(found, nowMs, effects));
    } else {
      applyAll(page.records(), nowMs, effects);
      if (state.nextOffset() >= page.tailOffset()) {
        tailConfirmedAtMs = Math.max(tailConfirmedAtMs, sentAtMs);
      }
    }
    return proceed(nowMs, effects);
  }

  /** Takes the failure of a read. */
  public List<LogEffect> readFailed(long nowMs) {
    isReading = false;
    readDueAtMs = nowMs + READ_RETRY_MS;
    return proceed(nowMs, new ArrayList<>());
  }

  /** Takes the answer to an append. */
  public List<LogEffect> appendAnswered(String operationId, long offset, long nowMs) {
    pending.appended(operationId);
    return proceed(nowMs, new ArrayList<>());
  }

  /** Takes the failure of an append. */
  public List<LogEffect> appendFailed(String operationId, boolean mayHaveTakenEffect, long nowMs) {
    pending.failed(operationId, mayHaveTakenEffect, nowMs);
    return proceed(nowMs, new ArrayList<>());
  }

  /** Takes records that a peer has read; they say nothing about the log's tail. */
  public List<LogEffect> peerRecords(List<LogRecord> records, long nowMs) {
    List<LogEffect> effects = new ArrayList<>();
    applyAll(records, nowMs, effects);
    endScanIfPassed();
    return proceed(nowMs, effects);
  }

  /** Takes the whole state of a peer; it is used only if it is ahead of the own one. */
  public List<LogEffect> peerSnapshot(long nextOffset, byte[] bytes, long nowMs) {
    List<LogEffect> effects = new ArrayList<>();
    if (nextOffset > state.nextOffset()) {
      Either<Refusal, ControlState> decoded = snapshots.decode(bytes);
      if (decoded.isLeft() || decoded.get().nextOffset() != nextOffset) {
        Logger.warn("log: a peer's snapshot at offset {} cannot be used", nextOffset);
      } else {
        install(decoded.get(), nowMs, effects);
      }
    }
    return proceed(nowMs, effects);
  }

  /** Does what is due; to be called every 100 ms or so. */
  public List<LogEffect> tick(long nowMs) {
    return proceed(nowMs, new ArrayList<>());
  }

  /** Returns the current state. */
  public ControlState state() {
    return state;
  }

  /** Returns when the state was last known to be the log's tail: send time of the read. */
  public long tailConfirmedAtMs() {
    return tailConfirmedAtMs;
  }

  /**
   * Returns recent records from an offset on, at most {@code maxBytes}; if it is empty although the
   * offset is below {@code state().nextOffset()}, the asker needs a snapshot.
   */
  public List<LogRecord> recordsFrom(long offset, int maxBytes) {
    return recentRecords.from(offset, maxBytes);
  }

  private void applyAll(List<LogRecord> records, long nowMs, List<LogEffect> effects) {
    long before = state.nextOffset();
    for (LogRecord record : records) {
      if (record.offset() == state.nextOffset()) {
        applyOne(record, nowMs, effects);
      }
    }
    if (state.nextOffset() != before) {
      effects.add(new LogEffect.StateChanged(state));
    }
  }

  private void applyOne(LogRecord record, long nowMs, List<LogEffect> effects) {
    Either<Refusal, Envelope> decoded = RecordCodec.decode(record.data());
    Applied applied = machine.apply(state, record, decoded);
    state = applied.state();
    schedule.started(state, nowMs);
    recentRecords.add(record);
    recentStates.add(state);
    applied.verdict().refusal().ifPresent(refusal -> report(record, refusal, effects));
    if (decoded.isRight()) {
      effects.addAll(pending.judged(state, decoded.get().operationId()));
      if (applied.verdict().isAccepted()
          && decoded.get().body() instanceof RecordBody.SnapshotTaken taken) {
        schedule.taken(taken.throughOffset(), record.appendedAtEpochMs(), nowMs);
        compare(decoded.get().author(), taken, effects);
      }
    }
  }

  /** Compares a snapshot of another daemon with the own state at the same offset. */
  private void compare(String author, RecordBody.SnapshotTaken taken, List<LogEffect> effects) {
    if (author.equals(memberId)) {
      return;
    }
    recentStates
        .at(taken.throughOffset() + 1)
        .filter(own -> !snapshots.digest(taken.state()).contains(StateDigest.of(own)))
        .ifPresent(
            own ->
                alarm(
                    "the snapshot of %s through offset %d differs from the state here; compare the versions of both daemons"
                        .formatted(author, taken.throughOffset()),
                    effects));
  }

  /** Takes over a whole state that is ahead of the own one. */
  private void install(ControlState newer, long nowMs, List<LogEffect> effects) {
    if (newer.nextOffset() <= state.nextOffset()) {
      return;
    }
    if (newer.textVersion() < state.textVersion()) {
      alarm(
          "a snapshot at offset %d has text version %d, but version %d is in force; it is not used"
              .formatted(newer.nextOffset(), newer.textVersion(), state.textVersion()),
          effects);
      return;
    }
    Logger.info("log: state taken over at offset {}", newer.nextOffset());
    state = newer;
    scan = Optional.empty();
    recentRecords.clear();
    recentStates.clear();
    recentStates.add(state);
    schedule.started(state, nowMs);
    readDueAtMs = nowMs;
    effects.addAll(pending.judgedBy(state));
    effects.add(new LogEffect.StateChanged(state));
  }

  private void endScanIfPassed() {
    if (scan.isPresent() && state.nextOffset() >= scan.get().firstRetainedOffset()) {
      scan = Optional.empty();
    }
  }

  private List<LogEffect> proceed(long nowMs, List<LogEffect> effects) {
    effects.addAll(pending.resume(state, nowMs));
    if (!isReading && nowMs >= readDueAtMs) {
      isReading = true;
      readFromOffset = scan.map(StartScan::nextOffset).orElse(state.nextOffset());
      effects.add(new LogEffect.Read(readFromOffset));
    }
    if (nowMs - tailConfirmedAtMs <= SNAPSHOT_FRESHNESS_MS
        && schedule.isDue(state, ownSeat(), nowMs)) {
      effects.add(new LogEffect.SnapshotDue(state));
    }
    return effects;
  }

  private int ownSeat() {
    return state
        .members()
        .get(memberId)
        .filter(MemberEntry::isActive)
        .map(MemberEntry::seat)
        .getOrElse(MemberEntry.NO_SEAT);
  }

  private void report(LogRecord record, Refusal refusal, List<LogEffect> effects) {
    if (refusal.code().outcome() == Outcome.BREACH || refusal.code() == ResultCode.INTERNAL_ERROR) {
      effects.add(new LogEffect.AlarmRaised(refusal));
    } else {
      Logger.debug("log: record {} refused: {}", record.offset(), refusal.message());
    }
  }

  private void reportRegression(LogPage page, List<LogEffect> effects) {
    if (!isRegressionReported) {
      isRegressionReported = true;
      alarm(
          "the log ends at offset %d, but it has already reached %d; it has lost records"
              .formatted(page.tailOffset(), readFromOffset),
          effects);
    }
  }

  private static void alarm(String message, List<LogEffect> effects) {
    effects.add(new LogEffect.AlarmRaised(Refusal.of(ResultCode.INVARIANT_CONFIGURATION, message)));
  }
}
