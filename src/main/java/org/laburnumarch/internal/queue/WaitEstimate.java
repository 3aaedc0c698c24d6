package org.laburnumarch.internal.queue;

import java.util.Map;

/**
 * Estimates how long a request would wait, from measured slot times and the measured drain rate.
 */
final class WaitEstimate<T> {
  /**
   * How long a team that runs nothing and may start nothing waits before its requests are refused.
   * The daemons divide its upper limit into units, and fetching units from other daemons takes a
   * few round trips.
   */
  private static final long UNITS_WAIT_MS = 1_000;

  private static final double UNBOUNDED_WAIT_MS = 1e12;
  private static final long MIN_RETRY_AFTER_MS = 100;
  private static final long MAX_RETRY_AFTER_MS = 30_000;

  private final Map<String, TeamQueue<T>> teams;
  private static final double MIN_SLOWDOWN = 0.02;
  private static final long NOT_BACKLOGGED = Long.MAX_VALUE;

  /**
   * Minimum number of expected dispatches per window; with fewer, the measured rate is too noisy.
   */
  private static final int MIN_EXPECTED_DISPATCHES = 4;

  private final SlotTime poolSlotTime = new SlotTime();
  private final DrainRate drainRate = new DrainRate();
  private long backloggedSinceMs = NOT_BACKLOGGED;
  private int slots;

  WaitEstimate(Map<String, TeamQueue<T>> teams) {
    this.teams = teams;
  }

  void resize(int slotCount) {
    slots = slotCount;
  }

  void record(TeamQueue<T> team, long slotMs) {
    team.slotTime.record(slotMs);
    poolSlotTime.record(slotMs);
  }

  /**
   * Returns the expected slot time of one request of the team in milliseconds; that of the whole
   * pool if the team has none yet, and 1 if the pool has none either.
   */
  double slotMs(TeamQueue<T> team) {
    return team.slotTime.isKnown() ? team.slotTime.meanMs() : poolSlotTime.meanMs();
  }

  /** Returns the expected wait in milliseconds behind {@code ahead} requests of the same team. */
  double waitMs(TeamQueue<T> team, int ahead, long nowMs) {
    if (team.isBlocked()) {
      return blockedWaitMs(team, ahead, nowMs);
    }
    double ratePerMs = expectedRatePerMs(team) * slowdown(nowMs);
    return ratePerMs > 0 ? ahead / ratePerMs : ahead == 0 ? 0 : UNBOUNDED_WAIT_MS;
  }

  /** Records a dispatch. */
  void recordDispatch(long nowMs) {
    drainRate.record(nowMs);
  }

  /** Records whether the pool's queue has any requests. */
  void setBacklogged(boolean isBacklogged, long nowMs) {
    backloggedSinceMs = isBacklogged ? Math.min(backloggedSinceMs, nowMs) : NOT_BACKLOGGED;
  }

  /**
   * Returns the ratio of the measured drain rate to the rate expected from slots and slot times.
   *
   * <p>It is 1 unless the queue was never empty for a whole window and drained at less than half
   * the expected rate, as when minions do not respond. Smaller differences are noise, and following
   * them would make daemons admit very different numbers of requests of the same team.
   */
  private double slowdown(long nowMs) {
    if (nowMs - backloggedSinceMs < DrainRate.WINDOW_MS || backloggedSinceMs == NOT_BACKLOGGED) {
      return 1;
    }
    double expectedPerMs = slots / poolSlotTime.meanMs();
    double ratio = Math.max(MIN_SLOWDOWN, drainRate.perMs(nowMs) / expectedPerMs);
    return expectedPerMs * DrainRate.WINDOW_MS >= MIN_EXPECTED_DISPATCHES && ratio < 0.5
        ? ratio
        : 1;
  }

  private double blockedWaitMs(TeamQueue<T> team, int ahead, long nowMs) {
    if (team.running() > 0) {
      return (ahead + 1) * slotMs(team) / team.running();
    }
    return team.blockedForMs(nowMs) < UNITS_WAIT_MS ? 0 : UNBOUNDED_WAIT_MS;
  }

  private double expectedRatePerMs(TeamQueue<T> team) {
    double busyShares = 0;
    for (TeamQueue<T> other : teams.values()) {
      busyShares += other == team || other.isBacklogged() ? other.share() : 0;
    }
    return slots / slotMs(team) * team.share() / busyShares;
  }

  static long retryAfterMs(double waitMs) {
    return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)));
  }
}
