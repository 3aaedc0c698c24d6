package org.laburnumarch.internal.daemon;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.laburnumarch.Refusal;
import org.laburnumarch.internal.log.LogEffect;
import org.laburnumarch.internal.log.LogFollower;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.Envelope;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordResult;
import org.laburnumarch.spi.LogPage;
import org.laburnumarch.spi.LogRecord;
import org.laburnumarch.spi.PlatformException;
import org.laburnumarch.spi.PlatformLog;

/** Runs the effects of the {@link LogFollower} against the platform's log, on the core loop. */
final class ControlLog {
  private static final int MAX_RECORDS_PER_READ = 500;
  private static final long LONG_POLL_MS = 1_000;

  /**
   * Time after which an operator's change completes even if its outcome is not known. The operator
   * may repeat the change.
   */
  private static final long OPERATOR_TIMEOUT_MS = 8_000;

  private final CoreLoop core;
  private final PlatformLog log;
  private final LogFollower follower;
  private final StateEncoder encoder;
  private final Alarms alarms;
  private final FaultTracker readFaults;
  private final FaultTracker appendFaults;
  private final Consumer<ControlState> onState;
  private final Consumer<Long> onTailConfirmed;
  private final Map<String, List<CompletableFuture<Either<Refusal, RecordResult>>>> pendingResults =
      new HashMap<>();
  private volatile ControlState state = ControlState.empty();
  private String memberId = "";
  private long publishedTailAtMs = LogFollower.NEVER_CONFIRMED;

  ControlLog(
      CoreLoop core,
      PlatformLog log,
      LogFollower follower,
      StateEncoder encoder,
      DaemonMetrics metrics,
      Alarms alarms,
      Consumer<ControlState> onState,
      Consumer<Long> onTailConfirmed) {
    this.core = core;
    this.log = log;
    this.follower = follower;
    this.encoder = encoder;
    this.alarms = alarms;
    this.readFaults =
        new FaultTracker(metrics.counter("log.failed.reads"), "log: Reading the control log");
    this.appendFaults =
        new FaultTracker(
            metrics.counter("log.failed.appends"), "log: Appending to the control log");
    this.onState = onState;
    this.onTailConfirmed = onTailConfirmed;
  }

  /**
   * Sets the id under which this daemon takes snapshots from now on; on the core loop or before it
   * runs.
   */
  void setMemberId(String newMemberId) {
    memberId = newMemberId;
    follower.setMemberId(newMemberId);
  }

  /** Returns the state after the last applied record; may be called by any thread. */
  ControlState state() {
    return state;
  }

  /** Runs the follower's periodic work; on the core loop. */
  void tick() {
    run(follower.onTick(core.nowMs()));
  }

  /** Appends a record of this daemon; whether it was accepted shows in the state. */
  void append(String author, RecordBody body) {
    Envelope envelope =
        new Envelope(UUID.randomUUID().toString(), author, System.currentTimeMillis(), body);
    run(follower.submit(envelope, core.nowMs()));
  }

  /**
   * Appends a record of an operator; completes once it was accepted or refused, or with a refusal
   * once the operation is abandoned. May be called by any thread.
   */
  CompletionStage<Either<Refusal, RecordResult>> submit(Envelope envelope) {
    CompletableFuture<Either<Refusal, RecordResult>> result = new CompletableFuture<>();
    core.execute(
        () -> {
          pendingResults
              .computeIfAbsent(envelope.operationId(), id -> new ArrayList<>())
              .add(result);
          run(follower.submit(envelope, core.nowMs() + OPERATOR_TIMEOUT_MS, core.nowMs()));
        });
    return result;
  }

  /** Applies records that a peer has sent; on the core loop. */
  void onPeerRecords(List<LogRecord> records) {
    run(follower.onPeerRecords(records, core.nowMs()));
  }

  /** Applies the whole state of a peer; on the core loop. */
  void onPeerSnapshot(long nextOffset, byte[] bytes) {
    run(follower.onPeerSnapshot(nextOffset, bytes, core.nowMs()));
  }

  /** Returns recent records to send to a peer; on the core loop. */
  List<LogRecord> recordsFrom(long offset, int maxBytes) {
    return follower.recordsFrom(offset, maxBytes);
  }

  /**
   * Returns the whole state to send to a peer; it is encoded on another thread. On the core loop.
   */
  CompletionStage<byte[]> encodedState() {
    return encoder.encode(follower.state());
  }

  private void run(List<LogEffect> effects) {
    publishTail();
    effects.forEach(this::run);
  }

  private void run(LogEffect effect) {
    if (effect instanceof LogEffect.Read read) {
      read(read.fromOffset());
    } else if (effect instanceof LogEffect.Append append) {
      append(append);
    } else if (effect instanceof LogEffect.OperationCompleted completed) {
      complete(completed.operationId(), Either.right(completed.result()));
    } else if (effect instanceof LogEffect.OperationAbandoned abandoned) {
      complete(abandoned.operationId(), Either.left(abandoned.refusal()));
    } else if (effect instanceof LogEffect.StateChanged) {
      publish();
    } else if (effect instanceof LogEffect.SnapshotDue due) {
      takeSnapshot(due.state());
    } else if (effect instanceof LogEffect.AlarmRaised alarm) {
      alarms.raise(alarm.refusal());
    }
  }

  private void publish() {
    if (follower.state().nextOffset() != state.nextOffset()) {
      state = follower.state();
      onState.accept(state);
    }
  }

  /** Publishes the state first, so that freshness is never reported for an older state. */
  private void publishTail() {
    publish();
    if (follower.tailConfirmedAtMs() > publishedTailAtMs) {
      publishedTailAtMs = follower.tailConfirmedAtMs();
      onTailConfirmed.accept(publishedTailAtMs);
    }
  }

  private void read(long fromOffset) {
    long sentAtMs = core.nowMs();
    var unused =
        log.read(fromOffset, MAX_RECORDS_PER_READ, LONG_POLL_MS)
            .whenComplete(
                (page, failure) -> core.execute(() -> onReadResponse(page, failure, sentAtMs)));
  }

  private void onReadResponse(LogPage page, Throwable failure, long sentAtMs) {
    long nowMs = core.nowMs();
    if (failure == null) {
      readFaults.onSuccess();
      run(follower.onReadResponse(page, sentAtMs, nowMs));
    } else {
      readFaults.onFailure(failure);
      run(follower.onReadFailure(nowMs));
    }
  }

  private void append(LogEffect.Append append) {
    var unused =
        log.append(append.bytes())
            .whenComplete(
                (offset, failure) -> core.execute(() -> onAppendResponse(append, offset, failure)));
  }

  private void onAppendResponse(LogEffect.Append append, Long offset, Throwable failure) {
    long nowMs = core.nowMs();
    if (failure == null) {
      appendFaults.onSuccess();
      run(follower.onAppendResponse(append.operationId(), offset, nowMs));
      return;
    }
    appendFaults.onFailure(failure);
    run(follower.onAppendFailure(append.operationId(), mayHaveTakenEffect(failure), nowMs));
  }

  private static boolean mayHaveTakenEffect(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    return Optional.of(failure)
        .filter(PlatformException.class::isInstance)
        .or(() -> Optional.of(cause).filter(PlatformException.class::isInstance))
        .map(e -> ((PlatformException) e).mayHaveTakenEffect())
        .orElse(true);
  }

  private void takeSnapshot(ControlState snapshotState) {
    long throughOffset = snapshotState.nextOffset() - 1;
    var unused =
        encoder
            .encode(snapshotState)
            .thenAccept(
                image ->
                    core.execute(
                        () ->
                            append(memberId, new RecordBody.SnapshotTaken(throughOffset, image))));
  }

  private void complete(String operationId, Either<Refusal, RecordResult> result) {
    List<CompletableFuture<Either<Refusal, RecordResult>>> futures =
        pendingResults.remove(operationId);
    if (futures != null) {
      futures.forEach(future -> future.complete(result));
    }
  }
}
