package org.laburnumarch.internal.node;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.lead.ClaimCause;
import org.laburnumarch.internal.lead.OwnerRecord;
import org.laburnumarch.internal.lead.OwnerTenure;
import org.laburnumarch.internal.lead.OwnerWatch;
import org.laburnumarch.internal.link.LinkMessage.Heartbeat;
import org.laburnumarch.internal.platform.PlatformFailures;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.StoreClient.KeyedValue;
import org.laburnumarch.internal.platform.StoreClient.NewestPage;
import org.laburnumarch.internal.platform.StoreClient.WriteOutcome;
import org.laburnumarch.internal.platform.StoreClient.WriteResult;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/** Follows, claims and renews the ownership in the store. Used on one thread only. */
final class Election implements AutoCloseable {

  /** Receives changes of the ownership. */
  interface Listener {

    /**
     * This daemon owns the fleet from now on.
     *
     * @param earlier the newest record of the earlier owner, if there was one
     * @param earlierSeenAtMs local time at which this daemon first knew of the earlier ownership
     * @param earlierOrdersOverAtMs local time from which the owners before the earlier one send no
     *     orders, as it has stored; {@link Long#MAX_VALUE} if it has not
     */
    void onOwnershipGained(
        OwnerTenure tenure,
        Optional<OwnerRecord> earlier,
        long earlierSeenAtMs,
        long earlierOrdersOverAtMs);

    /**
     * Returns the time in milliseconds for which owners before this one may still send orders;
     * empty if it is not known.
     */
    OptionalLong earlierOrdersLeftMs();

    /** This daemon does not own the fleet any more. */
    void onOwnershipLost();

    /** Another daemon owns the fleet. */
    void onOwnerChanged(OwnerRecord owner);
  }

  /** Receives the result of a planned release. */
  interface ReleaseListener {

    /**
     * The ownership has been released.
     *
     * @param record the record that releases it
     * @param newEndOffset end offset of the log after the record; -1 if it may not be stored
     */
    void onReleased(OwnerRecord record, long newEndOffset);
  }

  private static final String OWNER_KEY = "owner";

  /** Pause before a release is tried again that has to wait for a renewal under way. */
  private static final long RELEASE_RETRY_MS = 5;

  /**
   * Time after which a planned release does not wait for the store any more; a slow store answers
   * within 240 ms.
   */
  private static final long RELEASE_TIMEOUT_MS = 300;

  /** Time for which a released ownership is left to the daemon to which it was released. */
  private static final long RESERVED_MS = 400;

  /** Time between two reads of the log while the owner's heartbeats are missing. */
  private static final long READ_EVERY_MS = 150;

  /** Time between two checks of the owner's heartbeats, or of this daemon's own ownership. */
  private static final long TICK_MS = 100;

  /**
   * Time limit of a renewal until renewals are overdue. It leaves time for another one, over a new
   * connection, before other daemons miss three.
   */
  private static final long RENEWAL_TIMEOUT_MS = OwnerTenure.RENEW_EVERY_MS - TICK_MS;

  private final StoreClient store;
  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private final String holder;
  private final String host;
  private final int port;
  private final Supplier<OptionalLong> claimDelayMs;
  private final BooleanSupplier isResponsive;
  private final Listener listener;
  private final OwnerWatch watch = new OwnerWatch();
  private Optional<OwnerTenure> tenure = Optional.empty();
  private long endOffset = -1;
  private boolean isReading;
  private boolean isWriting;
  private long lastRenewalAttemptMs;
  private boolean isClosed;
  private boolean isCandidate = true;

  /** Whether orders have stopped for a planned release, so that the ownership is not renewed. */
  private boolean isReleasing;

  /** Run once when the ownership ends for good. */
  private Optional<Runnable> whenEnded = Optional.empty();

  /** Local time until which this daemon claims without a delay what was released to it. */
  private long chosenUntilMs = Long.MIN_VALUE / 2;

  /**
   * Creates an election that does nothing until {@link #start}.
   *
   * @param holder name of this process; different after each start
   * @param host IP number on which other daemons reach this one
   * @param port port on which other daemons reach this one
   * @param claimDelayMs returns by how much this daemon delays a claim, so that others claim first;
   *     empty while it must not claim
   * @param isResponsive returns whether this daemon has the processor time that an owner needs
   */
  Election(
      StoreClient store,
      EventLoopThread loop,
      SuspendAwareClock clock,
      String holder,
      String host,
      int port,
      Supplier<OptionalLong> claimDelayMs,
      BooleanSupplier isResponsive,
      Listener listener) {
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.holder = holder;
    this.host = host;
    this.port = port;
    this.claimDelayMs = claimDelayMs;
    this.isResponsive = isResponsive;
    this.listener = listener;
  }

  void start() {
    tick();
  }

  Optional<OwnerTenure> tenure() {
    return tenure;
  }

  /** Returns the newest known record of the owner. */
  Optional<OwnerRecord> owner() {
    return watch.newest();
  }

  private void tick() {
    if (isClosed) {
      return;
    }
    try {
      check(clock.nowMs());
    } finally {
      loop.schedule(TICK_MS, this::tick);
    }
  }

  private void check(long nowMs) {
    if (tenure.isPresent()) {
      if (!tenure.get().hasAuthority(nowMs)) {
        lose("no renewal was stored in time");
      } else if (!isWriting
          && !isReleasing
          && nowMs - lastRenewalAttemptMs >= renewalIntervalMs(nowMs)) {
        renew(nowMs);
      }
    } else if (watch.shouldRead(nowMs) && !isReading) {
      readOwner();
    }
  }

  /** Returns the time between two renewals, which is shorter while they fail. */
  private long renewalIntervalMs(long nowMs) {
    return isRenewalOverdue(nowMs) ? READ_EVERY_MS : OwnerTenure.RENEW_EVERY_MS;
  }

  private boolean isRenewalOverdue(long nowMs) {
    return tenure.orElseThrow().renewalAgeMs(nowMs) > OwnerWatch.MAX_OWNER_RENEWAL_AGE_MS;
  }

  /** Records a heartbeat that was received over the link. */
  void onHeartbeat(Heartbeat heartbeat) {
    long nowMs = clock.nowMs();
    boolean isOwner =
        watch
            .newest()
            .map(record -> record.term() == heartbeat.term() && !record.isReleased())
            .orElse(false);
    if (isOwner) {
      watch.onHeartbeat(heartbeat.renewalNumber(), heartbeat.renewalAgeMs(), nowMs);
    } else if (heartbeat.term() == 0) {
      watch.onHeartbeatWithoutTerm(heartbeat.holder());
    }
  }

  /** Applies an ownership that its holder has announced, unless a newer one is known. */
  void onAnnounced(OwnerRecord record) {
    if (record.term() <= watch.newest().map(OwnerRecord::term).orElse(0L)) {
      return;
    }
    watch.onAnnounced(record, clock.nowMs());
    if (tenure.isPresent() && tenure.get().term() < record.term()) {
      lose("another daemon has announced its ownership");
    }
    listener.onOwnerChanged(record);
  }

  /**
   * Records that the link to the owner has ended.
   *
   * @param isRefused whether it could not be established because nothing listens at the address
   */
  void onLinkClosed(boolean isRefused) {
    watch.onLinkClosed();
    if (isRefused) {
      watch.onOwnerProcessTerminated();
    }
  }

  private void readOwner() {
    isReading = true;
    store
        .readNewest(StoreClient.OWNERSHIP_LOG, Optional.empty(), OwnerWatch.READ_TIMEOUT_MS)
        .whenComplete(
            (page, failure) -> {
              isReading = false;
              if (failure != null) {
                watch.onReadFailed(clock.nowMs());
              } else if (!isClosed && tenure.isEmpty()) {
                onOwnerRead(page);
              }
            });
  }

  private void onOwnerRead(NewestPage page) {
    long nowMs = clock.nowMs();
    Optional<OwnerRecord> before = watch.newest();
    watch.onOwnState(isResponsive.getAsBoolean());
    watch.onRead(decode(page), page.endOffset(), nowMs);
    watch
        .newest()
        .filter(record -> before.map(old -> old.term() != record.term()).orElse(true))
        .ifPresent(listener::onOwnerChanged);
    // If the response to a claim of this process was lost, it claims again under a new term.
    boolean isOwn =
        watch
            .newest()
            .map(record -> record.holder().equals(holder) && !record.isReleased())
            .orElse(false);
    if (isCandidate && !isWriting && (isOwn || shouldClaim(nowMs))) {
      claim(nowMs);
    } else {
      loop.schedule(READ_EVERY_MS - TICK_MS, this::readOwnerAgain);
    }
  }

  private boolean shouldClaim(long nowMs) {
    if (nowMs < chosenUntilMs) {
      return watch.shouldClaim(nowMs, 0);
    }
    long reservedMs =
        watch.newest().map(record -> record.isReservedForOtherThan(holder)).orElse(false)
            ? RESERVED_MS
            : 0;
    OptionalLong delayMs = claimDelayMs.get();
    return delayMs.isPresent() && watch.shouldClaim(nowMs, reservedMs + delayMs.getAsLong());
  }

  private void readOwnerAgain() {
    if (!isClosed && !isReading && tenure.isEmpty() && watch.shouldRead(clock.nowMs())) {
      readOwner();
    }
  }

  private static Optional<OwnerRecord> decode(NewestPage page) {
    return page.records().stream()
        .filter(stored -> stored.key().equals(OWNER_KEY))
        .findFirst()
        .flatMap(StoreClient.StoreRecord::value)
        .flatMap(Election::decode);
  }

  private static Optional<OwnerRecord> decode(byte[] value) {
    try {
      return Optional.of(OwnerRecord.decode(value));
    } catch (IOException e) {
      Logger.warn("owner: event=unreadable cause={}", e.getMessage());
      return Optional.empty();
    }
  }

  private void claim(long nowMs) {
    OwnerRecord claim = watch.claim(holder, host, port, clock.epochMs());
    Optional<OwnerRecord> earlier = watch.newest();
    long earlierSeenAtMs = watch.termSeenAtMs();
    long earlierOrdersOverAtMs = watch.earlierOrdersOverAtMs();
    write(
        claim,
        watch.endOffset(),
        result -> {
          if (result.outcome() == WriteOutcome.STORED) {
            gain(claim, nowMs, result.endOffset(), earlier, earlierSeenAtMs, earlierOrdersOverAtMs);
          }
        });
  }

  private void gain(
      OwnerRecord claim,
      long sentAtMs,
      long newEnd,
      Optional<OwnerRecord> earlier,
      long earlierSeenAtMs,
      long earlierOrdersOverAtMs) {
    endOffset = newEnd;
    lastRenewalAttemptMs = sentAtMs;
    OwnerTenure gained = new OwnerTenure(claim, sentAtMs);
    tenure = Optional.of(gained);
    Logger.info(
        "owner: event=gained term={} holder={} why={}",
        claim.term(),
        holder,
        ClaimCause.of(earlier, holder));
    listener.onOwnershipGained(gained, earlier, earlierSeenAtMs, earlierOrdersOverAtMs);
  }

  private void renew(long nowMs) {
    lastRenewalAttemptMs = nowMs;
    OwnerTenure held = tenure.orElseThrow();
    OwnerRecord renewed = held.newest().renewed(listener.earlierOrdersLeftMs());
    write(
        renewed,
        endOffset,
        isRenewalOverdue(nowMs) ? StoreClient.WRITE_TIMEOUT_MS : RENEWAL_TIMEOUT_MS,
        result -> {
          if (result.outcome() == WriteOutcome.STORED) {
            endOffset = result.endOffset();
            held.onRenewed(renewed, nowMs);
          } else {
            checkRenewal(held, nowMs);
          }
        });
  }

  /**
   * Reads whether the log ends with a renewal whose response was lost or with another daemon's
   * claim.
   */
  private void checkRenewal(OwnerTenure held, long sentAtMs) {
    store
        .readNewest(StoreClient.OWNERSHIP_LOG, Optional.empty(), OwnerWatch.READ_TIMEOUT_MS)
        .whenComplete(
            (page, failure) -> {
              if (failure != null || tenure.isEmpty()) {
                return;
              }
              Optional<OwnerRecord> newest = decode(page);
              if (newest.isPresent() && newest.get().term() == held.term()) {
                endOffset = page.endOffset();
                held.onRenewed(newest.get(), sentAtMs);
              } else {
                lose("another daemon has claimed the ownership");
              }
            });
  }

  private void lose(String cause) {
    OwnerTenure held = tenure.orElseThrow();
    Logger.warn("owner: event=lost term={} cause=\"{}\"", held.term(), cause);
    held.onLost();
    isReleasing = false;
    tenure = Optional.empty();
    listener.onOwnershipLost();
    Optional<Runnable> ended = whenEnded;
    whenEnded = Optional.empty();
    ended.ifPresent(Runnable::run);
  }

  /** Ends the ownership for a reason outside the store, without writing to it. */
  void stepDown(String cause) {
    if (tenure.isPresent()) {
      lose(cause);
    }
  }

  /** Makes this daemon claim no more. */
  void withdrawCandidacy() {
    isCandidate = false;
  }

  /** Claims at once an ownership that its holder has released to this daemon. */
  void claimReleased(OwnerRecord released, long newEndOffset) {
    long nowMs = clock.nowMs();
    boolean isOutdated = watch.newest().map(known -> known.term() > released.term()).orElse(false);
    if (!isCandidate || isClosed || isOutdated || tenure.isPresent()) {
      return;
    }
    chosenUntilMs = nowMs + RELEASE_TIMEOUT_MS + RESERVED_MS;
    watch.onReleased(released, newEndOffset, nowMs);
    if (newEndOffset >= 0 && !isWriting) {
      claim(nowMs);
    } else if (!isReading) {
      readOwner();
    }
  }

  /**
   * Stores that the ownership is released to another daemon, after a renewal under way has ended.
   *
   * @param stopOrders run before the release, which follows when the stage completes; from then on
   *     the ownership is given up, also if the store does not answer
   * @param onFailed run if a renewal under way did not end in time; the ownership is kept
   */
  void releaseTo(
      String successor,
      Supplier<CompletionStage<Void>> stopOrders,
      ReleaseListener onReleased,
      Runnable onFailed) {
    awaitRelease(successor, stopOrders, onReleased, onFailed, clock.nowMs() + RELEASE_TIMEOUT_MS);
  }

  private void awaitRelease(
      String successor,
      Supplier<CompletionStage<Void>> stopOrders,
      ReleaseListener onReleased,
      Runnable onFailed,
      long deadlineMs) {
    if (isClosed || tenure.isEmpty()) {
      return;
    }
    if (!isWriting) {
      isReleasing = true;
      OwnerTenure held = tenure.get();
      stopOrders
          .get()
          .whenComplete(
              EventLoopThread.logged(
                  (result, failure) -> storeRelease(held, successor, onReleased)));
    } else if (clock.nowMs() >= deadlineMs) {
      onFailed.run();
    } else {
      loop.schedule(
          RELEASE_RETRY_MS,
          () -> awaitRelease(successor, stopOrders, onReleased, onFailed, deadlineMs));
    }
  }

  private void storeRelease(OwnerTenure held, String successor, ReleaseListener onReleased) {
    if (isClosed || !tenure.equals(Optional.of(held))) {
      return;
    }
    OwnerRecord released = held.newest().releasedTo(successor);
    Consumer<Long> finish =
        newEndOffset -> {
          if (tenure.equals(Optional.of(held))) {
            onReleased.onReleased(released, newEndOffset);
            lose(successor.isEmpty() ? "released" : "handed over to " + successor);
          }
        };
    write(
        released,
        endOffset,
        result ->
            finish.accept(result.outcome() == WriteOutcome.STORED ? result.endOffset() : -1L));
    loop.schedule(RELEASE_TIMEOUT_MS, () -> finish.accept(-1L));
  }

  /**
   * Stores that the ownership is released, so that another daemon can claim at once. This daemon
   * does not claim again. A claim under way is answered first, within the time limit of a write.
   *
   * @param stopOrders run before the release, which follows when the stage completes
   * @param whenDone run when this daemon does not own the fleet any more
   */
  void release(Supplier<CompletionStage<Void>> stopOrders, Runnable whenDone) {
    isCandidate = false;
    if (tenure.isEmpty() && isWriting) {
      // A claim that is under way may still be stored.
      loop.schedule(RELEASE_RETRY_MS, () -> release(stopOrders, whenDone));
      return;
    }
    if (tenure.isEmpty()) {
      whenDone.run();
      return;
    }
    whenEnded = Optional.of(whenDone);
    releaseTo(
        "",
        stopOrders,
        (record, newEndOffset) -> {},
        () -> stopOrders.get().thenRun(() -> stepDown("shutdown")));
  }

  private void write(OwnerRecord stored, long expectedEnd, Consumer<WriteResult> onResult) {
    write(stored, expectedEnd, StoreClient.WRITE_TIMEOUT_MS, onResult);
  }

  private void write(
      OwnerRecord stored, long expectedEnd, long timeoutMs, Consumer<WriteResult> onResult) {
    isWriting = true;
    store
        .append(
            StoreClient.OWNERSHIP_LOG,
            List.of(new KeyedValue(OWNER_KEY, Optional.of(stored.encode()))),
            OptionalLong.of(expectedEnd),
            Optional.empty(),
            timeoutMs)
        .whenComplete(
            (result, failure) -> {
              isWriting = false;
              if (isClosed) {
                return;
              }
              if (failure != null) {
                Logger.debug(
                    "owner: event=write-failed cause={}",
                    PlatformFailures.unwrap(failure).getMessage());
              } else {
                onResult.accept(result);
              }
            });
  }

  /** Stops following the ownership. */
  @Override
  public void close() {
    isClosed = true;
  }
}
