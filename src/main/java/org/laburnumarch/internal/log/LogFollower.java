package org.laburnumarch.internal.log;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.laburnumarch.Outcome;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.state.ApplyResult;
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
 * <p>Methods take the current monotonic time in milliseconds, do no I/O and return the effects to
 * perform. Not thread-safe.
 */
public final class LogFollower {

  /** Value of {@link #tailConfirmedAtMs()} until a read first reaches the tail. */
  public static final long NEVER_CONFIRMED = Long.MIN_VALUE / 4;

  /** Maximum time until an operation is abandoned, in milliseconds. */
  public static final long MAX_OPERATION_MS = 30_000;

  private static final long READ_RETRY_MS = 200;

  /** Minimum interval of reads if the log responds immediately without new records. */
  private static final long IDLE_READ_MS = 50;

  /** Maximum age of the last tail confirmation at which this daemon takes a snapshot. */
  private static final long SNAPSHOT_FRESHNESS_MS = 3_000;

  private final ControlStateMachine machine;
  private final SnapshotCodec snapshotCodec;
  private String memberId;
  private final PendingOperations pending = new PendingOperations();
  private final RecentRecords recentRecords = new RecentRecords();
  private final RecentStates recentStates = new RecentStates();
  private final SnapshotSchedule snapshotSchedule;

  private ControlState state = ControlState.empty();
  private Optional<SnapshotScan> scan = Optional.empty();
  private boolean isReading;
  private long readFromOffset;
  private long readDueAtMs = Long.MIN_VALUE;
  private long tailConfirmedAtMs = NEVER_CONFIRMED;
  private boolean isRegressionReported;

  /**
   * Creates a follower that starts with an empty state.
   *
   * @param memberId author of this daemon's own snapshots; its seat staggers them
   * @param retentionMs how long the log keeps records
   */
  public LogFollower(TextChecker checker, String memberId, long retentionMs) {
    this.machine = new ControlStateMachine(checker);
    this.snapshotCodec = new SnapshotCodec(checker);
    this.memberId = memberId;
    this.snapshotSchedule = new SnapshotSchedule(retentionMs);
  }

  /** Changes the member id; an expelled daemon rejoins under a new one. */
  public void setMemberId(String newMemberId) {
    memberId = newMemberId;
  }

  /** Appends a record and waits for its result, for at most {@link #MAX_OPERATION_MS}. */
  public List<LogEffect> submit(Envelope envelope, long nowMs) {
    return submit(envelope, nowMs + MAX_OPERATION_MS, nowMs);
  }

  /** As {@link #submit(Envelope, long)}, with an earlier deadline. */
  public List<LogEffect> submit(Envelope envelope, long deadlineMs, long nowMs) {
    List<LogEffect> effects = new ArrayList<>();
    Either<Refusal, byte[]> encoded = RecordCodec.encode(envelope);
    if (encoded.isLeft()) {
      effects.add(new LogEffect.OperationAbandoned(envelope.operationId(), encoded.getLeft()));
    } else {
      long boundedMs = Math.min(deadlineMs, nowMs + MAX_OPERATION_MS);
      effects.addAll(pending.submit(state, envelope.operationId(), encoded.get(), boundedMs));
    }
    return effects;
  }

  /** Applies the response to a read that was sent at {@code sentAtMs}. */
  public List<LogEffect> onReadResponse(LogPage page, long sentAtMs, long nowMs) {
    List<LogEffect> effects = new ArrayList<>();
    isReading = false;
    if (page.tailOffset() < readFromOffset) {
      reportRegression(page, effects);
      readDueAtMs = nowMs + READ_RETRY_MS;
      return withDueEffects(nowMs, effects);
    }
    isRegressionReported = false;
    readDueAtMs = page.records().isEmpty() ? sentAtMs + IDLE_READ_MS : nowMs;
    pending.recordTail(page.tailOffset(), sentAtMs);
    if (page.firstRetainedOffset() > state.nextOffset() && scan.isEmpty()) {
      Logger.info(
          "log: offset {} is no longer retained, searching for a snapshot", state.nextOffset());
      scan = Optional.of(new SnapshotScan(snapshotCodec, page.firstRetainedOffset()));
      readDueAtMs = nowMs;
    }
    if (scan.isPresent()) {
      scan.get().scanPage(page).ifPresent(found -> installState(found, nowMs, effects));
    } else {
      applyAll(page.records(), nowMs, effects);
      if (state.nextOffset() >= page.tailOffset()) {
        tailConfirmedAtMs = Math.max(tailConfirmedAtMs, sentAtMs);
      }
    }
    return withDueEffects(nowMs, effects);
  }

  /** Schedules another read after a read failed. */
  public List<LogEffect> onReadFailure(long nowMs) {
    isReading = false;
    readDueAtMs = nowMs + READ_RETRY_MS;
    return withDueEffects(nowMs, new ArrayList<>());
  }

  /** Records that the log confirmed an append. */
  public List<LogEffect> onAppendResponse(String operationId, long offset, long nowMs) {
    pending.appended(operationId);
    return withDueEffects(nowMs, new ArrayList<>());
  }

  /** Records that an append failed. */
  public List<LogEffect> onAppendFailure(
      String operationId, boolean mayHaveTakenEffect, long nowMs) {
    pending.failed(operationId, mayHaveTakenEffect, nowMs);
    return withDueEffects(nowMs, new ArrayList<>());
  }

  /** Applies records that a peer has read; they do not confirm the log's tail. */
  public List<LogEffect> onPeerRecords(List<LogRecord> records, long nowMs) {
    List<LogEffect> effects = new ArrayList<>();
    applyAll(records, nowMs, effects);
    endScanIfCaughtUp();
    return withDueEffects(nowMs, effects);
  }

  /** Installs the whole state of a peer if it is ahead of the own state. */
  public List<LogEffect> onPeerSnapshot(long nextOffset, byte[] bytes, long nowMs) {
    List<LogEffect> effects = new ArrayList<>();
    if (nextOffset > state.nextOffset()) {
      Either<Refusal, ControlState> decoded = snapshotCodec.decode(bytes);
      if (decoded.isLeft() || decoded.get().nextOffset() != nextOffset) {
        Logger.warn("log: ignored an invalid snapshot of a peer at offset {}", nextOffset);
      } else {
        installState(decoded.get(), nowMs, effects);
      }
    }
    return withDueEffects(nowMs, effects);
  }

  /** Runs time-based work; call about every 100 ms. */
  public List<LogEffect> onTick(long nowMs) {
    return withDueEffects(nowMs, new ArrayList<>());
  }

  /** Returns the current state. */
  public ControlState state() {
    return state;
  }

  /** Returns the send time of the last read after which the state included the log's tail. */
  public long tailConfirmedAtMs() {
    return tailConfirmedAtMs;
  }

  /**
   * Returns recent records from an offset on, at most {@code maxBytes}. If the result is empty
   * although the offset is below {@code state().nextOffset()}, the requesting peer needs a
   * snapshot.
   */
  public List<LogRecord> recordsFrom(long offset, int maxBytes) {
    return recentRecords.from(offset, maxBytes);
  }

  private void applyAll(List<LogRecord> records, long nowMs, List<LogEffect> effects) {
    long previousOffset = state.nextOffset();
    for (LogRecord record : records) {
      if (record.offset() == state.nextOffset()) {
        applyOne(record, nowMs, effects);
      }
    }
    if (state.nextOffset() != previousOffset) {
      effects.add(new LogEffect.StateChanged(state));
    }
  }

  private void applyOne(LogRecord record, long nowMs, List<LogEffect> effects) {
    Either<Refusal, Envelope> decoded = RecordCodec.decode(record.data());
    ApplyResult applyResult = machine.apply(state, record, decoded);
    state = applyResult.state();
    snapshotSchedule.onFirstState(state, nowMs);
    recentRecords.add(record);
    recentStates.add(state);
    applyResult.result().refusal().ifPresent(refusal -> reportRefusal(record, refusal, effects));
    if (decoded.isRight()) {
      effects.addAll(pending.complete(state, decoded.get().operationId()));
      if (applyResult.result().isAccepted()
          && decoded.get().body() instanceof RecordBody.SnapshotTaken taken) {
        snapshotSchedule.onSnapshotRead(taken.throughOffset(), record.appendedAtEpochMs(), nowMs);
        compareWithOwnState(decoded.get().author(), taken, effects);
      }
    }
  }

  /** Raises an alarm if a snapshot of another daemon differs from the own state at its offset. */
  private void compareWithOwnState(
      String author, RecordBody.SnapshotTaken taken, List<LogEffect> effects) {
    if (author.equals(memberId)) {
      return;
    }
    recentStates
        .at(taken.throughOffset() + 1)
        .filter(own -> !snapshotCodec.digest(taken.state()).contains(StateDigest.of(own)))
        .ifPresent(
            own ->
                alarm(
                    "the snapshot of %s through offset %d differs from the state of this daemon; compare the versions of both daemons"
                        .formatted(author, taken.throughOffset()),
                    effects));
  }

  /** Replaces the own state by a whole state that is ahead of it. */
  private void installState(ControlState newer, long nowMs, List<LogEffect> effects) {
    if (newer.nextOffset() <= state.nextOffset()) {
      return;
    }
    if (newer.textVersion() < state.textVersion()) {
      alarm(
          "a snapshot at offset %d has text version %d, but version %d is in force; the snapshot is ignored"
              .formatted(newer.nextOffset(), newer.textVersion(), state.textVersion()),
          effects);
      return;
    }
    Logger.info("log: replaced the state by a snapshot; the next offset is {}", newer.nextOffset());
    state = newer;
    scan = Optional.empty();
    recentRecords.clear();
    recentStates.clear();
    recentStates.add(state);
    snapshotSchedule.onFirstState(state, nowMs);
    readDueAtMs = nowMs;
    effects.addAll(pending.completeAll(state));
    effects.add(new LogEffect.StateChanged(state));
  }

  private void endScanIfCaughtUp() {
    if (scan.isPresent() && state.nextOffset() >= scan.get().firstRetainedOffset()) {
      scan = Optional.empty();
    }
  }

  private List<LogEffect> withDueEffects(long nowMs, List<LogEffect> effects) {
    effects.addAll(pending.abandonOrResend(state, nowMs));
    if (!isReading && nowMs >= readDueAtMs) {
      isReading = true;
      readFromOffset = scan.map(SnapshotScan::nextOffset).orElse(state.nextOffset());
      effects.add(new LogEffect.Read(readFromOffset));
    }
    if (nowMs - tailConfirmedAtMs <= SNAPSHOT_FRESHNESS_MS
        && snapshotSchedule.isDue(state, ownSeat(), nowMs)) {
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

  private void reportRefusal(LogRecord record, Refusal refusal, List<LogEffect> effects) {
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
