package org.laburnumarch.internal.node;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.laburnumarch.internal.http.EventLoopThread;
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

    /** This daemon owns the fleet from now on. */
    void onOwnershipGained(OwnerTenure tenure, Optional<OwnerRecord> earlier);

    /** This daemon does not own the fleet any more. */
    void onOwnershipLost();

    /** Another daemon owns the fleet. */
    void onOwnerChanged(OwnerRecord owner);
  }

  private static final String OWNER_KEY = "owner";

  /** Time between two reads of the log while the owner's heartbeats are missing. */
  private static final long READ_EVERY_MS = 150;

  /** Time between two checks of the owner's heartbeats, or of this daemon's own ownership. */
  private static final long TICK_MS = 100;

  private final StoreClient store;
  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private final String holder;
  private final String host;
  private final int port;
  private final Supplier<OptionalLong> claimDelayMs;
  private final Listener listener;
  private final OwnerWatch watch = new OwnerWatch();
  private Optional<OwnerTenure> tenure = Optional.empty();
  private long endOffset = -1;
  private boolean isReading;
  private boolean isWriting;
  private long lastRenewalAttemptMs;
  private boolean isClosed;
  private boolean isCandidate = true;

  /**
   * Creates an election that does nothing until {@link #start}.
   *
   * @param holder name of this process; different after each start
   * @param host IP number on which other daemons reach this one
   * @param port port on which other daemons reach this one
   * @param claimDelayMs returns by how much this daemon delays a claim, so that others claim first;
   *     empty while it must not claim
   */
  Election(
      StoreClient store,
      EventLoopThread loop,
      SuspendAwareClock clock,
      String holder,
      String host,
      int port,
      Supplier<OptionalLong> claimDelayMs,
      Listener listener) {
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.holder = holder;
    this.host = host;
    this.port = port;
    this.claimDelayMs = claimDelayMs;
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
      } else if (!isWriting && nowMs - lastRenewalAttemptMs >= renewalIntervalMs(nowMs)) {
        renew(nowMs);
      }
    } else if (watch.shouldRead(nowMs) && !isReading) {
      readOwner();
    }
  }

  /** Returns the time between two renewals, which is shorter while they fail. */
  private long renewalIntervalMs(long nowMs) {
    boolean isFailing =
        tenure.orElseThrow().renewalAgeMs(nowMs) > OwnerWatch.MAX_OWNER_RENEWAL_AGE_MS;
    return isFailing ? READ_EVERY_MS : OwnerTenure.RENEW_EVERY_MS;
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
      // The process at the owner's address does not own the fleet: the owner has stepped down, or a
      // new process has replaced it.
      watch.onOwnerProcessTerminated();
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
   * @param isUnreachable whether it could not be established because the connection was refused or
   *     timed out
   */
  void onLinkClosed(boolean isUnreachable) {
    watch.onLinkClosed();
    if (isUnreachable) {
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
    watch.onRead(decode(page), page.endOffset(), nowMs);
    watch
        .newest()
        .filter(record -> before.map(old -> old.term() != record.term()).orElse(true))
        .ifPresent(listener::onOwnerChanged);
    // If the response to a claim of this process was lost, it claims again under a new term.
    boolean isOwn = watch.newest().map(record -> record.holder().equals(holder)).orElse(false);
    if (isCandidate && !isWriting && (isOwn || shouldClaim(nowMs))) {
      claim(nowMs);
    } else {
      loop.schedule(READ_EVERY_MS - TICK_MS, this::readOwnerAgain);
    }
  }

  private boolean shouldClaim(long nowMs) {
    OptionalLong delayMs = claimDelayMs.get();
    return delayMs.isPresent() && watch.shouldClaim(nowMs, delayMs.getAsLong());
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
    write(
        claim,
        watch.endOffset(),
        result -> {
          if (result.outcome() == WriteOutcome.STORED) {
            gain(claim, nowMs, result.endOffset(), earlier);
          }
        });
  }

  private void gain(OwnerRecord claim, long sentAtMs, long newEnd, Optional<OwnerRecord> earlier) {
    endOffset = newEnd;
    lastRenewalAttemptMs = sentAtMs;
    OwnerTenure gained = new OwnerTenure(claim, sentAtMs);
    tenure = Optional.of(gained);
    Logger.info("owner: event=gained term={} holder={}", claim.term(), holder);
    listener.onOwnershipGained(gained, earlier);
  }

  private void renew(long nowMs) {
    lastRenewalAttemptMs = nowMs;
    OwnerTenure held = tenure.orElseThrow();
    OwnerRecord renewed = held.newest().renewed();
    write(
        renewed,
        endOffset,
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
    tenure = Optional.empty();
    listener.onOwnershipLost();
  }

  /** Ends the ownership for a reason outside the store, without writing to it. */
  void stepDown(String cause) {
    if (tenure.isPresent()) {
      lose(cause);
    }
  }

  /**
   * Stores that the ownership is released, so that another daemon can claim at once. This daemon
   * does not claim again.
   */
  void release(Runnable whenDone) {
    isCandidate = false;
    if (tenure.isEmpty()) {
      whenDone.run();
      return;
    }
    OwnerRecord released = tenure.get().newest().released();
    store
        .append(
            StoreClient.OWNERSHIP_LOG,
            List.of(new KeyedValue(OWNER_KEY, Optional.of(released.encode()))),
            OptionalLong.of(endOffset),
            Optional.empty())
        .whenComplete((result, failure) -> whenDone.run());
  }

  private void write(OwnerRecord stored, long expectedEnd, Consumer<WriteResult> onResult) {
    isWriting = true;
    store
        .append(
            StoreClient.OWNERSHIP_LOG,
            List.of(new KeyedValue(OWNER_KEY, Optional.of(stored.encode()))),
            OptionalLong.of(expectedEnd),
            Optional.empty())
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
