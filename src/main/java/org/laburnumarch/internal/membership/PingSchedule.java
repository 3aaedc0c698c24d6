package org.laburnumarch.internal.membership;

import io.vavr.collection.Seq;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** Schedules pings and tracks when each outstanding ping was sent. */
final class PingSchedule {
  private static final int MAX_TARGETS_PER_ROUND = 3;
  private static final int MAX_OUTSTANDING = 1_000;

  private record OutstandingPing(String memberId, long sentAtMs) {}

  private final Map<Long, OutstandingPing> outstanding = new LinkedHashMap<>();
  private long nextId;
  private int cursor;
  private long nextRoundAtMs = Long.MIN_VALUE;
  private long lastRoundAtMs = Long.MIN_VALUE / 2;
  private long shortIntervalUntilMs = Long.MAX_VALUE;
  private boolean wasUncertain;

  PingSchedule(long firstId) {
    nextId = firstId;
  }

  /**
   * Returns the members to ping with a full report now; empty between rounds. A fresh daemon pings
   * a few members in rotation; one that is not fresh pings all, at short intervals at first unless
   * it knows that the log is down for all.
   */
  List<String> targetsDue(
      Seq<String> targets, boolean isFresh, boolean isAgeing, boolean isOutage, long nowMs) {
    boolean isUncertain = !isFresh && !isOutage;
    if (isUncertain && !wasUncertain) {
      shortIntervalUntilMs = nowMs + MemberTimes.UNCERTAIN_PING_PERIOD_MS;
      nextRoundAtMs = nowMs;
    }
    wasUncertain = isUncertain;
    boolean isEarly = isAgeing && nowMs >= lastRoundAtMs + MemberTimes.AGEING_PING_INTERVAL_MS;
    if ((nowMs < nextRoundAtMs && !isEarly) || targets.isEmpty()) {
      return List.of();
    }
    lastRoundAtMs = nowMs;
    boolean isShortInterval = isUncertain && nowMs < shortIntervalUntilMs;
    nextRoundAtMs =
        nowMs
            + (isShortInterval
                ? MemberTimes.UNCERTAIN_PING_INTERVAL_MS
                : MemberTimes.PING_INTERVAL_MS);
    return isFresh ? nextTargets(targets) : targets.toJavaList();
  }

  private List<String> nextTargets(Seq<String> targets) {
    List<String> chosen = new ArrayList<>();
    for (int i = 0; i < Math.min(MAX_TARGETS_PER_ROUND, targets.size()); i++) {
      cursor = (cursor + 1) % targets.size();
      chosen.add(targets.get(cursor));
    }
    return chosen;
  }

  /** Registers a ping and returns its id. */
  long register(String memberId, long nowMs) {
    outstanding.values().removeIf(p -> nowMs - p.sentAtMs() > MemberTimes.FRESHNESS_LIMIT_MS);
    if (outstanding.size() < MAX_OUTSTANDING) {
      outstanding.put(nextId, new OutstandingPing(memberId, nowMs));
    }
    return nextId++;
  }

  /**
   * Returns when the ping was sent; empty if the pong is unknown, duplicate or of another member.
   */
  OptionalLong complete(long pingId, String memberId) {
    OutstandingPing ping = outstanding.get(pingId);
    if (ping == null || !ping.memberId().equals(memberId)) {
      return OptionalLong.empty();
    }
    outstanding.remove(pingId);
    return OptionalLong.of(ping.sentAtMs());
  }
}
