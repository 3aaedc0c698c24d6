package org.laburnumarch.internal.lead;

/** An ownership from the owner's side: how long it may act on it. */
public final class OwnerTenure {

  /** Time between two renewals. A daemon that reads none for three times as long claims. */
  public static final long RENEW_EVERY_MS = 500;

  /**
   * Time after the last renewal during which the owner goes on giving orders, so that work does not
   * stop in a short outage of the store. A later owner waits this long, and a lease more, for
   * workers that it cannot reach.
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

  /** Returns the number of the ownership. */
  public long term() {
    return claim.term();
  }

  /** Returns the newest record of this ownership. */
  public OwnerRecord newest() {
    return newest;
  }

  /** Notes a renewal that has been stored. */
  public void onRenewed(OwnerRecord record, long sentAtMs) {
    newest = record;
    renewedAtMs = Math.max(renewedAtMs, sentAtMs);
  }

  /** Notes that another daemon owns now. */
  public void onLost() {
    isLost = true;
  }

  /** Returns whether another daemon owns now. */
  public boolean isLost() {
    return isLost;
  }

  /** Returns whether orders may be given. */
  public boolean hasAuthority(long nowMs) {
    return !isLost && nowMs - renewedAtMs < AUTHORITY_MS;
  }

  /** Returns the time since the last renewal that was stored was sent. */
  public long renewedAgoMs(long nowMs) {
    return nowMs - renewedAtMs;
  }
}
