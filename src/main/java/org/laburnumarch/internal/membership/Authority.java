package org.laburnumarch.internal.membership;

import java.util.Optional;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.state.MemberEntry;

/** Decides whether this daemon may dispatch work based on its current state. */
public final class Authority {
  private final Freshness freshness;
  private final PeerReports reports;
  private final boolean isMajorityNeeded;
  private MemberView view;
  private long lastCheckAtMs = Long.MIN_VALUE;

  Authority(Freshness freshness, PeerReports reports, MemberView view, boolean isMajorityNeeded) {
    this.freshness = freshness;
    this.isMajorityNeeded = isMajorityNeeded;
    this.reports = reports;
    this.view = view;
  }

  void onState(MemberView newView) {
    view = newView;
  }

  /** Returns why no work may be dispatched now; empty if it may. */
  public Optional<Refusal> check(long nowMs) {
    if (nowMs < lastCheckAtMs) {
      return Optional.of(breach("the monotonic clock went backwards; restart this entry"));
    }
    lastCheckAtMs = nowMs;
    if (!view.isSeated()) {
      return Optional.of(noSeat());
    }
    long nextOffset = view.state().nextOffset();
    if (freshness.isFresh(nowMs)) {
      return reports.isTailContradicted(nextOffset, freshness.freshAtMs())
          ? Optional.of(
              breach(
                  "the log ended before a record that a peer has read; check the log for lost records"))
          : Optional.empty();
    }
    return isOutage(nowMs) ? Optional.empty() : Optional.of(noAuthority());
  }

  /**
   * Returns whether the log is down for all members, so that no newer record can be in force.
   *
   * <p>A record is in force only once a majority of the counting members has read it. Any two
   * majorities share a member, so a majority that knows no newer record rules one out.
   */
  boolean isOutage(long nowMs) {
    long nextOffset = view.state().nextOffset();
    if (reports.isBehind(nextOffset, nowMs)) {
      return false;
    }
    int confirmingCount =
        view.counting()
            .count(m -> isSelf(m) || reports.confirmsOutage(m.memberId(), nextOffset, nowMs));
    return !isMajorityNeeded || view.isMajority(confirmingCount, view.counting().size());
  }

  private boolean isSelf(MemberEntry member) {
    return member.memberId().equals(view.selfId());
  }

  private Refusal noSeat() {
    if (view.self().isPresent() && !view.isActive(view.selfId())) {
      return Refusal.retryable(
          ResultCode.NO_AUTHORITY,
          "this entry was expelled and is rejoining; repeat the request",
          MemberTimes.NO_AUTHORITY_RETRY_MS);
    }
    return Refusal.retryable(
        ResultCode.NO_SEAT,
        "this entry has no seat yet; repeat the request or raise max-seats",
        MemberTimes.NO_AUTHORITY_RETRY_MS);
  }

  private static Refusal noAuthority() {
    return Refusal.retryable(
        ResultCode.NO_AUTHORITY,
        "this entry cannot tell whether its configuration is in force; repeat the request",
        MemberTimes.NO_AUTHORITY_RETRY_MS);
  }

  private static Refusal breach(String message) {
    return Refusal.of(ResultCode.INVARIANT_KEY, message);
  }
}
