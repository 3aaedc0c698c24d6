package org.laburnumarch.internal.membership;

/** Durations of membership and authority, in milliseconds of the local monotonic clock. */
public final class MemberTimes {
  /** Maximum age of the last confirmation of the log's tail at which work is dispatched. */
  public static final long FRESHNESS_LIMIT_MS = 3_000;

  /** Maximum duration of a request after its dispatch. */
  public static final long MAX_REQUEST_MS = 30_000;

  /** How long a departed member's work may continue after a majority has read its departure. */
  public static final long RECLAIM_WAIT_MS = FRESHNESS_LIMIT_MS + MAX_REQUEST_MS;

  /** Time between two rounds of pings. */
  public static final long PING_INTERVAL_MS = 1_000;

  /**
   * Time between two rounds of pings while the daemon is not fresh and does not know whether the
   * log is down for all members. Members lose freshness at slightly different times, so the first
   * pongs often do not confirm an outage yet.
   */
  public static final long UNCERTAIN_PING_INTERVAL_MS = 100;

  /**
   * Freshness age after which peers are pinged more often. A daemon that reads the log itself, with
   * a long poll of 1,000 ms, reaches a freshness age of up to 2,000 ms. A daemon that gets its
   * freshness only from peers would reach up to 3,000 ms, because the ping interval is added, and
   * 3,000 ms is the freshness limit.
   */
  public static final long AGEING_AFTER_MS = 2_500;

  /** Time between two rounds of pings after {@link #AGEING_AFTER_MS}. */
  public static final long AGEING_PING_INTERVAL_MS = 200;

  /**
   * How long {@link #UNCERTAIN_PING_INTERVAL_MS} is used, so that a disconnected daemon does not
   * keep pinging at that rate.
   */
  public static final long UNCERTAIN_PING_PERIOD_MS = 2_000;

  /** Silence after which a member is suspected. */
  public static final long SUSPECT_AFTER_MS = 15_000;

  /** Time that a suspected member has to refute the suspicion. */
  public static final long EXPEL_AFTER_MS = 10_000;

  /**
   * How long an instance must be missing from the list until it counts as removed, and how long its
   * member must be silent until it is expelled for that reason.
   */
  public static final long INSTANCE_REMOVED_AFTER_MS = 60_000;

  /** Maximum age of an instance list that is used to detect missing instances. */
  public static final long INSTANCE_LIST_VALID_MS = 10_000;

  /** Pause between ticks after which the silence of other members is reset. */
  public static final long PROCESS_PAUSE_MS = 3_000;

  /** Time after which a proposal that had no effect is repeated. */
  public static final long PROPOSAL_RETRY_MS = 3_000;

  /** Delay per rank of a proposer, so that usually only one member appends the record. */
  public static final long PROPOSAL_STAGGER_MS = 300;

  /** Delay that combines several reasons for an acknowledgement into one record. */
  public static final long ACKNOWLEDGE_DELAY_MS = 200;

  /** Retry delay for callers that were refused because this daemon has no authority. */
  public static final long NO_AUTHORITY_RETRY_MS = 1_000;

  private MemberTimes() {}
}
