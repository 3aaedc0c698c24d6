package org.laburnumarch.internal.membership;

import io.vavr.collection.Seq;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.limit.AllowanceLedger;
import org.laburnumarch.internal.state.MemberEntry;
import org.laburnumarch.internal.state.MemberStatus;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordBody.AllowanceReclaimed;
import org.laburnumarch.internal.state.RecordBody.MemberAcknowledged;

/**
 * Acknowledges membership changes, and reclaims the allowance of departed members once their work
 * has certainly ended.
 */
final class DepartureSettlement {
  private static final long NEVER_MS = Long.MAX_VALUE;

  private final AllowanceLedger ledger;
  private final ProposalThrottle proposals;
  private final long reclaimWaitMs;
  private final Map<String, Long> settledSinceMs = new HashMap<>();
  private long acknowledgeAtMs = NEVER_MS;

  DepartureSettlement(AllowanceLedger ledger, ProposalThrottle proposals, long reclaimWaitMs) {
    this.reclaimWaitMs = reclaimWaitMs;
    this.ledger = ledger;
    this.proposals = proposals;
  }

  /** Records since when all required members have acknowledged each departure. */
  void onState(MemberView view, long nowMs) {
    settledSinceMs.keySet().retainAll(view.departed().map(MemberEntry::memberId).toJavaSet());
    for (MemberEntry departed : view.departed()) {
      if (isAcknowledgedByMajority(view, departed.departedAtOffset())
          && isAcknowledgedByAll(view, departed)) {
        settledSinceMs.putIfAbsent(departed.memberId(), nowMs);
      } else {
        settledSinceMs.remove(departed.memberId());
      }
    }
  }

  /** Returns the acknowledgement to append now, if any. */
  Optional<RecordBody> acknowledgement(MemberView view, long nowMs) {
    Optional<MemberEntry> self = view.self().filter(m -> !m.status().isDeparted());
    if (self.isEmpty() || !isAcknowledgementDue(view, self.get())) {
      acknowledgeAtMs = NEVER_MS;
      return Optional.empty();
    }
    if (acknowledgeAtMs == NEVER_MS) {
      acknowledgeAtMs = nowMs + delayMs(view, self.get());
    }
    if (nowMs < acknowledgeAtMs || !proposals.tryPropose("acknowledge", nowMs)) {
      return Optional.empty();
    }
    acknowledgeAtMs = NEVER_MS;
    return Optional.of(
        new MemberAcknowledged(
            view.selfId(), view.state().nextOffset(), ledger.totalsWithDeparted()));
  }

  /**
   * Returns the delay before the acknowledgement is appended. For most changes a majority suffices,
   * so the members are staggered by rank. A departure needs the acknowledgement of every member, so
   * it is not staggered.
   */
  private long delayMs(MemberView view, MemberEntry self) {
    boolean isStaggered = !hasUnacknowledgedDeparture(view, self);
    return MemberTimes.ACKNOWLEDGE_DELAY_MS + (isStaggered ? view.rank() * 50L : 0);
  }

  private boolean isAcknowledgementDue(MemberView view, MemberEntry self) {
    long acknowledged = self.acknowledgedOffset();
    boolean hasUncountedJoin =
        view.active().exists(m -> !m.isCounting() && m.joinedAtOffset() >= acknowledged);
    return hasUnacknowledgedDeparture(view, self)
        || (self.isCounting() && isMajorityAcknowledgementMissing(view, acknowledged))
        || (self.isCounting()
            && (hasUncountedJoin || ledger.isAcknowledgementNeeded(acknowledged)));
  }

  /**
   * Returns whether a departure that this member has not acknowledged still lacks a majority.
   * Members that joined after the departure may be needed for it.
   */
  private static boolean isMajorityAcknowledgementMissing(MemberView view, long acknowledged) {
    return view.departed()
        .exists(
            d ->
                d.departedAtOffset() >= acknowledged
                    && !isAcknowledgedByMajority(view, d.departedAtOffset()));
  }

  private static boolean hasUnacknowledgedDeparture(MemberView view, MemberEntry self) {
    return view.departed()
        .exists(
            d ->
                d.departedAtOffset() >= self.acknowledgedOffset()
                    && d.departedAtOffset() > self.joinedAtOffset());
  }

  /** Returns the reclaim to append now: one record for all settled departed members. */
  Optional<RecordBody> reclaim(MemberView view, long nowMs) {
    long delayMs = view.rank() * MemberTimes.PROPOSAL_STAGGER_MS;
    Seq<MemberEntry> due =
        withAllCounters(view, view.departed().filter(d -> isReclaimDue(d, nowMs - delayMs)));
    if (due.isEmpty() || !view.isActive()) {
      return Optional.empty();
    }
    List<String> ids = due.map(MemberEntry::memberId).toJavaList();
    return proposals.tryPropose("reclaim" + ids, nowMs)
        ? Optional.of(new AllowanceReclaimed(ids))
        : Optional.empty();
  }

  private static Seq<MemberEntry> withAllCounters(MemberView view, Seq<MemberEntry> due) {
    Seq<MemberEntry> complete = due.filter(d -> hasAllCounters(view, d, due));
    return complete.size() == due.size() ? due : withAllCounters(view, complete);
  }

  /**
   * Returns whether {@code departed} can be reclaimed in one record with the members of {@code
   * due}. A member that departed without acknowledging this departure has to be in the same record,
   * because its counters are missing. So has one that departed earlier, because its settlement uses
   * the counters of {@code departed}.
   */
  private static boolean hasAllCounters(
      MemberView view, MemberEntry departed, Seq<MemberEntry> due) {
    return view.departed()
        .forAll(
            m ->
                due.contains(m)
                    || (m.departedAtOffset() > departed.departedAtOffset()
                        && (m.joinedAtOffset() > departed.departedAtOffset()
                            || m.acknowledgedOffset() > departed.departedAtOffset())));
  }

  private boolean isReclaimDue(MemberEntry departed, long delayedNowMs) {
    long waitMs = departed.status() == MemberStatus.LEFT ? 0 : reclaimWaitMs;
    Long since = settledSinceMs.get(departed.memberId());
    return since != null && delayedNowMs - since >= waitMs;
  }

  private static boolean isAcknowledgedByAll(MemberView view, MemberEntry departed) {
    return view.active()
        .forAll(
            m ->
                m.joinedAtOffset() > departed.departedAtOffset()
                    || m.acknowledgedOffset() > departed.departedAtOffset());
  }

  private static boolean isAcknowledgedByMajority(MemberView view, long offset) {
    Seq<MemberEntry> counting = view.counting();
    int acknowledgedCount = counting.count(m -> m.isActive() && m.acknowledgedOffset() > offset);
    return view.isMajority(acknowledgedCount, counting.size());
  }
}
