package org.laburnumarch.internal.lead;

import java.util.Optional;

/**
 * Observes the owner for a daemon that does not own the fleet, and decides when that daemon should
 * claim the ownership. Not thread-safe.
 *
 * <p>A claim is a conditional append that succeeds only if nothing has been appended since this
 * daemon's last read, so at most one of several concurrent claims succeeds. Claiming too early is
 * safe, because the higher term fences an earlier owner's writes and orders; it only costs the work
 * of a takeover.
 */
public final class OwnerWatch {

  /** Time without a renewal after which a daemon claims, in milliseconds: three missed renewals. */
  public static final long SILENCE_BEFORE_CLAIM_MS = 3 * OwnerTenure.RENEW_EVERY_MS;

  /**
   * Age of a term up to which its owner is starting: it loads all jobs and opens a connection to
   * each worker, which delays its renewals.
   */
  private static final long OWNER_START_MS = 4_000;

  /** Time without a renewal after which a daemon claims from a living owner that is starting. */
  private static final long SILENCE_OF_STARTING_OWNER_MS = 3_000;

  /**
   * Time without a renewal after which a daemon claims if the owner's process has ended or has
   * stepped down, in milliseconds; long enough to see another daemon's claim first.
   */
  public static final long SILENCE_AFTER_END_MS = 100;

  /**
   * Renewals may go unseen between two reads that are further apart than this; silence then counts
   * from the later read.
   */
  private static final long MAX_READ_GAP_MS = 600;

  /**
   * Time after this daemon's last failed read for which it leaves the ownership to a living owner.
   * An outage of the store has silenced the renewals of an owner that is well, and it renews as
   * soon as the store is back.
   */
  private static final long GRACE_AFTER_OUTAGE_MS = 1_000;

  /**
   * Time limit of a read of the ownership log, in milliseconds. An answer takes 4 ms and 240 ms
   * from a slow store. A daemon whose read gets no answer cannot claim until the limit has passed,
   * so the limit is shorter than the longest delay of a claim.
   */
  public static final long READ_TIMEOUT_MS = 400;

  /** Age of the last heartbeat up to which the owner counts as living. */
  private static final long MAX_HEARTBEAT_AGE_MS = 700;

  /** Age of the owner's renewal from which a heartbeat no longer shows that the owner is alive. */
  public static final long MAX_OWNER_RENEWAL_AGE_MS = 2 * OwnerTenure.RENEW_EVERY_MS + 200;

  /** Time without a heartbeat over the link after which the log is read. */
  private static final long READ_AFTER_SILENCE_MS = 700;

  private Optional<OwnerRecord> newest = Optional.empty();

  /** Local time at which this daemon first knew of the newest term. */
  private long termSeenAtMs;

  /** Local time from which the owners before the newest term send no orders, as it has stored. */
  private long earlierOrdersOverAtMs = Long.MAX_VALUE;

  private long endOffset = -1;
  private long silentSinceMs;
  private long lastReadAtMs = Long.MIN_VALUE / 2;
  private long heartbeatAtMs = Long.MIN_VALUE / 2;
  private long readFailedAtMs = Long.MIN_VALUE / 2;
  private long heartbeatRenewalNumber = -1;
  private boolean isOwnerProcessTerminated;

  /** Whether a heartbeat of the newest term's holder has named the term. */
  private boolean isTermNamed;

  /** Whether this daemon has the processor time that an owner needs. */
  private boolean isResponsive = true;

  /** Local time of the last heartbeat that showed that the owner renews. */
  private long renewingAtMs = Long.MIN_VALUE / 2;

  /** Local time of the first read since which a claim has been due; -1 if none is due. */
  private long claimDueSinceMs = -1;

  /**
   * Applies the result of a read of the log.
   *
   * @param record the newest ownership record; empty if the read found none
   * @param newEndOffset end offset of the log
   */
  public void onRead(Optional<OwnerRecord> record, long newEndOffset, long nowMs) {
    boolean isRenewed =
        record.isPresent() && !record.equals(newest) && !isKnownFromHeartbeat(record.get());
    boolean isAfterGap = nowMs - Math.max(lastReadAtMs, heartbeatAtMs) > MAX_READ_GAP_MS;
    if (isRenewed || isAfterGap) {
      silentSinceMs = nowMs;
    }
    record.ifPresent(read -> updateNewest(read, nowMs));
    endOffset = newEndOffset;
    lastReadAtMs = nowMs;
    if (!isClaimDue(nowMs)) {
      claimDueSinceMs = -1;
    } else if (claimDueSinceMs < 0) {
      claimDueSinceMs = nowMs;
    }
  }

  private void updateNewest(OwnerRecord record, long nowMs) {
    if (newest.map(old -> old.term() != record.term()).orElse(true)) {
      isOwnerProcessTerminated = false;
      isTermNamed = false;
      termSeenAtMs = nowMs;
      earlierOrdersOverAtMs = Long.MAX_VALUE;
    }
    if (record.earlierOrdersLeftMs().isPresent()) {
      earlierOrdersOverAtMs =
          Math.min(earlierOrdersOverAtMs, nowMs + record.earlierOrdersLeftMs().getAsLong());
    }
    newest = Optional.of(record);
  }

  /**
   * Records whether this daemon has the processor time that an owner needs. One that does not
   * leaves the ownership to a living owner until that owner's authority has ended.
   */
  public void onOwnState(boolean newIsResponsive) {
    isResponsive = newIsResponsive;
  }

  /** Records that this daemon could not read the log. */
  public void onReadFailed(long nowMs) {
    readFailedAtMs = nowMs;
  }

  /**
   * Records that the owner's process has ended or has stepped down: its address refuses
   * connections, or the process there reports that it does not own the fleet.
   */
  public void onOwnerProcessTerminated() {
    isOwnerProcessTerminated = true;
    renewingAtMs = Long.MIN_VALUE / 2;
  }

  /**
   * Records that the process at the owner's address reports that it does not own the fleet: the
   * owner has stepped down, or a new process has replaced it. The holder itself also reports that
   * while the answer to its claim is on the way.
   *
   * @param holder name of the process
   */
  public void onHeartbeatWithoutTerm(String holder) {
    boolean isHolder = newest.map(record -> record.holder().equals(holder)).orElse(false);
    if (!isHolder || isTermNamed) {
      onOwnerProcessTerminated();
    }
  }

  /** Records that the link to the owner has ended. */
  public void onLinkClosed() {
    renewingAtMs = Long.MIN_VALUE / 2;
  }

  /**
   * Returns whether the log should be read now, because the owner may have stopped renewing. A
   * daemon that still gets heartbeats begins when their renewal is overdue, before a claim is due:
   * otherwise it would learn later than a small daemon without a link that it should claim.
   */
  public boolean shouldRead(long nowMs) {
    return nowMs - renewingAtMs > READ_AFTER_SILENCE_MS
        || nowMs - silentSinceMs >= MAX_OWNER_RENEWAL_AGE_MS;
  }

  /**
   * Records a heartbeat of the owner.
   *
   * @param renewalNumber number of its newest renewal
   * @param renewalAgeMs age of that renewal in milliseconds
   */
  public void onHeartbeat(long renewalNumber, long renewalAgeMs, long nowMs) {
    isOwnerProcessTerminated = false;
    isTermNamed = true;
    heartbeatRenewalNumber = renewalNumber;
    heartbeatAtMs = nowMs;
    long renewedAtMs = nowMs - renewalAgeMs;
    // A busy owner sends heartbeats before it processes the answer to a renewal.
    boolean isNewerRenewalKnown =
        newest.isPresent() && newest.get().renewalNumber() > renewalNumber;
    silentSinceMs = isNewerRenewalKnown ? Math.max(silentSinceMs, renewedAtMs) : renewedAtMs;
    if (renewalAgeMs < MAX_OWNER_RENEWAL_AGE_MS) {
      renewingAtMs = nowMs;
    }
  }

  private boolean isKnownFromHeartbeat(OwnerRecord record) {
    return newest.isPresent()
        && newest.get().term() == record.term()
        && record.renewalNumber() <= heartbeatRenewalNumber;
  }

  /** Records an ownership that its holder has announced; it must be newer than the one known. */
  public void onAnnounced(OwnerRecord record, long nowMs) {
    updateNewest(record, nowMs);
    isTermNamed = true;
    heartbeatRenewalNumber = record.renewalNumber();
    heartbeatAtMs = nowMs;
    silentSinceMs = nowMs;
  }

  /**
   * Records that the owner has stopped and released the ownership.
   *
   * @param record the record that releases it
   * @param newEndOffset end offset of the log after that record; -1 if it may not be stored
   */
  public void onReleased(OwnerRecord record, long newEndOffset, long nowMs) {
    onOwnerProcessTerminated();
    if (newEndOffset >= 0) {
      onRead(Optional.of(record), newEndOffset, nowMs);
    }
  }

  /** Returns the newest known record; empty if there is none. */
  public Optional<OwnerRecord> newest() {
    return newest;
  }

  /**
   * Returns the local time at which this daemon first knew of the newest term, so that it was
   * claimed then or earlier.
   */
  public long termSeenAtMs() {
    return termSeenAtMs;
  }

  /**
   * Returns the local time from which the owners before the newest term send no orders, as far as
   * its records tell; {@link Long#MAX_VALUE} if they do not.
   */
  public long earlierOrdersOverAtMs() {
    return earlierOrdersOverAtMs;
  }

  /** Returns the end offset of the log at the last read; -1 before the first read. */
  public long endOffset() {
    return endOffset;
  }

  /**
   * Returns whether to claim the ownership now.
   *
   * @param claimDelayMs how much later than preferred daemons this daemon claims, in milliseconds.
   *     It counts from the read that showed this daemon that a claim is due: all daemons notice at
   *     about the same time, but only after the owner has been silent for longer than the delay.
   */
  public boolean shouldClaim(long nowMs, long claimDelayMs) {
    if (!isClaimDue(nowMs)) {
      return false;
    }
    long dueForMs = claimDueSinceMs < 0 ? 0 : nowMs - claimDueSinceMs;
    return dueForMs >= claimDelayMs;
  }

  private boolean isClaimDue(long nowMs) {
    if (endOffset < 0 || nowMs - lastReadAtMs > MAX_READ_GAP_MS) {
      return false;
    }
    if (newest.isEmpty() || newest.get().isReleased()) {
      return true;
    }
    boolean isOwnerLiving =
        !isOwnerProcessTerminated && nowMs - heartbeatAtMs < MAX_HEARTBEAT_AGE_MS;
    if (isOwnerLiving && nowMs - readFailedAtMs < GRACE_AFTER_OUTAGE_MS) {
      return false;
    }
    if (isOwnerLiving && !isResponsive) {
      return nowMs - silentSinceMs >= OwnerTenure.AUTHORITY_MS;
    }
    return nowMs - silentSinceMs >= requiredSilenceMs(isOwnerLiving, nowMs);
  }

  private long requiredSilenceMs(boolean isOwnerLiving, long nowMs) {
    if (isOwnerProcessTerminated) {
      return SILENCE_AFTER_END_MS;
    }
    boolean isOwnerStarting = isOwnerLiving && nowMs - termSeenAtMs < OWNER_START_MS;
    return isOwnerStarting ? SILENCE_OF_STARTING_OWNER_MS : SILENCE_BEFORE_CLAIM_MS;
  }

  /** Returns the record for a claim, with the term after the newest known one. */
  public OwnerRecord claim(String holder, String host, int port, long epochMs) {
    long term = newest.map(OwnerRecord::term).orElse(0L) + 1;
    return new OwnerRecord(term, holder, host, port, 0, false, epochMs);
  }
}
