package org.laburnumarch.internal.lead;

/**
 * An ownership as its holder sees it, and how long it gives the authority to send orders. Not
 * thread-safe.
 */
public final class OwnerTenure {

  /**
   * Interval between two renewals in milliseconds. Another daemon that sees none for three
   * intervals claims the ownership.
   */
  public static final long RENEW_EVERY_MS = 500;

  /**
   * Time after the last stored renewal during which the owner continues to give orders, in
   * milliseconds, so that work does not stop in a short outage of the store. For workers that it
   * cannot reach, a later owner waits this long plus the length of a lease.
   */
  public static final long AUTHORITY_MS = 6_000;

  private final OwnerRecord claim;
  private OwnerRecord newest;
  private long renewedAtMs;
  private boolean isLost;

  /**
   * Creates the tenure of a claim that has been stored.
   *
   * @param sentAtMs local time at which the claim was sent
   */
  public OwnerTenure(OwnerRecord claim, long sentAtMs) {
    this.claim = claim;
    this.newest = claim;
    this.renewedAtMs = sentAtMs;
  }

  /** Returns the term of the ownership. */
  public long term() {
    return claim.term();
  }

  /** Returns the newest record of this ownership. */
  public OwnerRecord newest() {
    return newest;
  }

  /**
   * Records that a renewal has been stored.
   *
   * @param sentAtMs local time at which the renewal was sent
   */
  public void onRenewed(OwnerRecord record, long sentAtMs) {
    newest = record;
    renewedAtMs = Math.max(renewedAtMs, sentAtMs);
  }

  /** Records that this daemon no longer owns the fleet. */
  public void onLost() {
    isLost = true;
  }

  /** Returns whether this daemon no longer owns the fleet. */
  public boolean isLost() {
    return isLost;
  }

  /** Returns whether the owner may give orders. */
  public boolean hasAuthority(long nowMs) {
    return !isLost && nowMs - renewedAtMs < AUTHORITY_MS;
  }

  /**
   * Returns whether another daemon may have claimed the ownership since the last stored renewal, so
   * that this one may not know everything that has been accepted. That is so for an owner that was
   * paused, until it has renewed or found out.
   */
  public boolean mayHaveSuccessor(long nowMs) {
    return isLost || nowMs - renewedAtMs >= OwnerWatch.SILENCE_BEFORE_CLAIM_MS;
  }

  /**
   * Returns whether a renewal has been stored that was sent after a time. It proves that no other
   * daemon had claimed the ownership by then.
   */
  public boolean isRenewedSince(long atMs) {
    return !isLost && renewedAtMs > atMs;
  }

  /** Returns the time in milliseconds since the last stored renewal was sent. */
  public long renewalAgeMs(long nowMs) {
    return nowMs - renewedAtMs;
  }
}
