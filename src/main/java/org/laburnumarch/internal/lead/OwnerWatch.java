package org.laburnumarch.internal.lead;

import java.util.Optional;

/**
 * What a daemon that does not own the fleet knows of the owner, and whether it should claim.
 *
 * <p>A claim is an append on the condition that nothing has been appended since this daemon read,
 * so at most one of several claims succeeds. Claiming early is safe, because an earlier owner's
 * writes and orders are fenced by the higher term; it only costs the work of a take-over.
 */
public final class OwnerWatch {

  /** Three missed renewals. */
  public static final long SILENCE_BEFORE_CLAIM_MS = 3 * OwnerTenure.RENEW_EVERY_MS;

  /** Time in which a claim of another daemon can be seen, once the owner's process has ended. */
  public static final long SILENCE_AFTER_END_MS = 100;

  /** Reads further apart than this leave renewals unseen; silence counts from the later one. */
  private static final long WIDEST_READ_GAP_MS = 600;

  private Optional<OwnerRecord> newest = Optional.empty();
  private long endOffset = -1;
  private long silentSinceMs;
  private long lastReadAtMs = Long.MIN_VALUE / 2;
  private long pulsedAtMs = Long.MIN_VALUE / 2;
  private long pulsedBeat = -1;
  private boolean isOwnerProcessGone;

  /** Notes what a read of the log found. */
  public void onRead(Optional<OwnerRecord> record, long newEndOffset, long nowMs) {
    boolean isRenewed = record.isPresent() && !record.equals(newest) && !isPulsed(record.get());
    boolean isAfterGap = nowMs - Math.max(lastReadAtMs, pulsedAtMs) > WIDEST_READ_GAP_MS;
    if (isRenewed || isAfterGap) {
      silentSinceMs = nowMs;
    }
    if (record.isPresent() && newest.map(old -> old.term() != record.get().term()).orElse(true)) {
      isOwnerProcessGone = false;
    }
    newest = record.isPresent() ? record : newest;
    endOffset = newEndOffset;
    lastReadAtMs = nowMs;
  }

  /** Notes that the owner refuses connections. */
  public void onOwnerProcessGone() {
    isOwnerProcessGone = true;
  }

  /**
   * Notes a sign of life of the owner.
   *
   * @param beat number of its newest renewal
   * @param renewedAgoMs age of that renewal
   */
  public void onPulse(long beat, long renewedAgoMs, long nowMs) {
    isOwnerProcessGone = false;
    pulsedBeat = beat;
    pulsedAtMs = nowMs;
    silentSinceMs = nowMs - renewedAgoMs;
  }

  private boolean isPulsed(OwnerRecord record) {
    return newest.isPresent()
        && newest.get().term() == record.term()
        && record.beat() <= pulsedBeat;
  }

  /** Takes up an ownership that its holder has announced, which is newer than the one known. */
  public void onAnnounced(OwnerRecord record, long nowMs) {
    newest = Optional.of(record);
    isOwnerProcessGone = false;
    pulsedBeat = record.beat();
    pulsedAtMs = nowMs;
    silentSinceMs = nowMs;
  }

  /** Returns the newest record. */
  public Optional<OwnerRecord> newest() {
    return newest;
  }

  /** Returns the end of the log as it was last read; -1 before the first read. */
  public long endOffset() {
    return endOffset;
  }

  /**
   * Returns whether to claim the ownership now.
   *
   * @param handicapMs time by which this daemon gives others the precedence
   */
  public boolean shouldClaim(long nowMs, long handicapMs) {
    if (endOffset < 0 || nowMs - lastReadAtMs > WIDEST_READ_GAP_MS) {
      return false;
    }
    long silentMs = nowMs - silentSinceMs;
    if (newest.isEmpty() || newest.get().isReleased()) {
      return silentMs >= handicapMs;
    }
    long patienceMs = isOwnerProcessGone ? SILENCE_AFTER_END_MS : SILENCE_BEFORE_CLAIM_MS;
    return silentMs >= patienceMs + handicapMs;
  }

  /** Returns the record of a claim that follows on what is known. */
  public OwnerRecord claim(String holder, String host, int port, long epochMs) {
    long term = newest.map(OwnerRecord::term).orElse(0L) + 1;
    return new OwnerRecord(term, holder, host, port, 0, false, epochMs);
  }
}
