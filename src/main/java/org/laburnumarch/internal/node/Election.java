package org.laburnumarch.internal.node;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.laburnumarch.internal.http.HttpLoop;
import org.laburnumarch.internal.lead.OwnerRecord;
import org.laburnumarch.internal.lead.OwnerTenure;
import org.laburnumarch.internal.lead.OwnerWatch;
import org.laburnumarch.internal.link.LinkMessage.Pulse;
import org.laburnumarch.internal.platform.PlatformFailures;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.StoreClient.KeyedValue;
import org.laburnumarch.internal.platform.StoreClient.NewestPage;
import org.laburnumarch.internal.platform.StoreClient.WriteOutcome;
import org.laburnumarch.internal.platform.StoreClient.WriteResult;
import org.laburnumarch.internal.time.LocalClock;
import org.tinylog.Logger;

/** Follows and claims the ownership in the store. Used on one thread only. */
final class Election implements AutoCloseable {

  /** Told about changes of the ownership. */
  interface Listener {

    /** This daemon owns the fleet from now on. */
    void onOwnershipGained(OwnerTenure tenure, Optional<OwnerRecord> earlier);

    /** This daemon does not own the fleet any more. */
    void onOwnershipLost();

    /** Another daemon owns the fleet. */
    void onOwnerChanged(OwnerRecord owner);
  }

  private static final String KEY = "owner";

  /** Time between two looks at the log while the owner's signs of life are missing. */
  private static final long LOOK_EVERY_MS = 150;

  /** Time between two checks of the owner's signs of life. */
  private static final long TICK_MS = 100;

  /** Age of the owner's renewal from which its signs of life do not count. */
  private static final long RENEWAL_AGE_LIMIT_MS = 2 * OwnerTenure.RENEW_EVERY_MS + 200;

  /** Time without a sign of life over the link from which the log is looked at. */
  private static final long LINK_SILENCE_MS = 700;

  private final StoreClient store;
  private final HttpLoop loop;
  private final LocalClock clock;
  private final String holder;
  private final String host;
  private final int port;
  private final long handicapMs;
  private final Listener listener;
  private final OwnerWatch watch = new OwnerWatch();
  private Optional<OwnerTenure> tenure = Optional.empty();
  private long heardAtMs = Long.MIN_VALUE / 2;
  private long endOffset = -1;
  private boolean isLooking;
  private boolean isWriting;
  private long lastRenewTryMs;
  private boolean isClosed;
  private boolean isCandidate = true;

  /**
   * Creates an election that does nothing until {@link #start}.
   *
   * @param holder name of this process; new for each start
   * @param host IP number on which other daemons reach this one
   * @param port port on which other daemons reach this one
   * @param handicapMs time by which this daemon gives others the precedence
   */
  Election(
      StoreClient store,
      HttpLoop loop,
      LocalClock clock,
      String holder,
      String host,
      int port,
      long handicapMs,
      Listener listener) {
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.holder = holder;
    this.host = host;
    this.port = port;
    this.handicapMs = handicapMs;
    this.listener = listener;
  }

  void start() {
    tick();
  }

  Optional<OwnerTenure> tenure() {
    return tenure;
  }

  /** Returns the owner's record as last read. */
  Optional<OwnerRecord> owner() {
    return watch.newest();
  }

  private void tick() {
    if (isClosed) {
      return;
    }
    long nowMs = clock.nowMs();
    if (tenure.isPresent()) {
      if (!tenure.get().hasAuthority(nowMs)) {
        lose("authority has run out");
      } else if (!isWriting && nowMs - lastRenewTryMs >= OwnerTenure.RENEW_EVERY_MS) {
        renew(nowMs);
      }
    } else if (nowMs - heardAtMs > LINK_SILENCE_MS && !isLooking) {
      look();
    }
    loop.after(TICK_MS, this::tick);
  }

  /** Notes a sign of life that the owner sent over the link. */
  void onPulse(Pulse pulse) {
    long nowMs = clock.nowMs();
    boolean isOwner =
        watch
            .newest()
            .map(record -> record.term() == pulse.term() && !record.isReleased())
            .orElse(false);
    if (isOwner) {
      watch.onPulse(pulse.renewalNumber(), pulse.renewedAgoMs(), nowMs);
      if (pulse.renewedAgoMs() < RENEWAL_AGE_LIMIT_MS) {
        heardAtMs = nowMs;
      }
    } else if (pulse.term() == 0) {
      // The process that is said to own has ended or has stepped down.
      heardAtMs = Long.MIN_VALUE / 2;
      watch.onOwnerProcessGone();
    }
  }

  /** Takes up an ownership that its holder has announced. */
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

  /** Notes that the link to the owner has ended. */
  void onLinkClosed(boolean isRefused) {
    heardAtMs = Long.MIN_VALUE / 2;
    if (isRefused) {
      watch.onOwnerProcessGone();
    }
  }

  private void look() {
    isLooking = true;
    store
        .newest(StoreClient.OWNER, Optional.empty())
        .whenComplete(
            (page, failure) -> {
              isLooking = false;
              if (failure == null && !isClosed && tenure.isEmpty()) {
                onLooked(page);
              }
            });
  }

  private void onLooked(NewestPage page) {
    long nowMs = clock.nowMs();
    Optional<OwnerRecord> before = watch.newest();
    watch.onRead(decode(page), page.endOffset(), nowMs);
    watch
        .newest()
        .filter(record -> before.map(old -> old.term() != record.term()).orElse(true))
        .ifPresent(listener::onOwnerChanged);
    // A claim of this process whose answer was lost is claimed anew, under a term of its own.
    boolean isOwn = watch.newest().map(record -> record.holder().equals(holder)).orElse(false);
    if (isCandidate && !isWriting && (isOwn || watch.shouldClaim(nowMs, handicapMs))) {
      claim(nowMs);
    } else {
      loop.after(LOOK_EVERY_MS - TICK_MS, this::lookAgain);
    }
  }

  private void lookAgain() {
    if (!isClosed
        && !isLooking
        && tenure.isEmpty()
        && clock.nowMs() - heardAtMs > LINK_SILENCE_MS) {
      look();
    }
  }

  private static Optional<OwnerRecord> decode(NewestPage page) {
    return page.records().stream()
        .filter(stored -> stored.key().equals(KEY))
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
    lastRenewTryMs = sentAtMs;
    OwnerTenure gained = new OwnerTenure(claim, sentAtMs);
    tenure = Optional.of(gained);
    Logger.info("owner: event=gained term={} holder={}", claim.term(), holder);
    listener.onOwnershipGained(gained, earlier);
  }

  private void renew(long nowMs) {
    lastRenewTryMs = nowMs;
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

  /** Finds out whether the log ends with an unanswered renewal or with another's claim. */
  private void checkRenewal(OwnerTenure held, long sentAtMs) {
    store
        .newest(StoreClient.OWNER, Optional.empty())
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
                lose("another daemon has claimed");
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

  /** Gives the ownership up, for another reason than the store's word. */
  void abdicate(String cause) {
    if (tenure.isPresent()) {
      lose(cause);
    }
  }

  /** Gives the ownership up so that another daemon claims at once; does not claim again. */
  void release(Runnable whenDone) {
    isCandidate = false;
    if (tenure.isEmpty()) {
      whenDone.run();
      return;
    }
    OwnerRecord released = tenure.get().newest().released();
    store
        .append(
            StoreClient.OWNER,
            List.of(new KeyedValue(KEY, Optional.of(released.encode()))),
            OptionalLong.of(endOffset),
            Optional.empty())
        .whenComplete((result, failure) -> whenDone.run());
  }

  private void write(OwnerRecord stored, long expectedEnd, Consumer<WriteResult> then) {
    isWriting = true;
    store
        .append(
            StoreClient.OWNER,
            List.of(new KeyedValue(KEY, Optional.of(stored.encode()))),
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
                then.accept(result);
              }
            });
  }

  /** Stops following. */
  @Override
  public void close() {
    isClosed = true;
  }
}
