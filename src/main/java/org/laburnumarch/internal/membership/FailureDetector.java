package org.laburnumarch.internal.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.laburnumarch.internal.state.ExpulsionReason;
import org.laburnumarch.internal.state.MemberEntry;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordBody.MemberAlive;
import org.laburnumarch.internal.state.RecordBody.MemberExpelled;
import org.laburnumarch.internal.state.RecordBody.MemberSuspected;

/** Suspects silent members, refutes suspicion of this member, and expels unrefuted suspects. */
final class FailureDetector {
  private final HeartbeatTracker heartbeats;
  private final MissingInstances missingInstances;
  private final ProposalThrottle proposals;
  private final Map<String, Long> suspectedSinceMs = new HashMap<>();

  FailureDetector(
      HeartbeatTracker heartbeats, MissingInstances missingInstances, ProposalThrottle proposals) {
    this.heartbeats = heartbeats;
    this.missingInstances = missingInstances;
    this.proposals = proposals;
  }

  void onState(MemberView view, long nowMs) {
    Map<String, Long> stillSuspected = new HashMap<>();
    for (MemberEntry m : view.active()) {
      if (m.isSuspected()) {
        stillSuspected.put(m.memberId(), suspectedSinceMs.getOrDefault(m.memberId(), nowMs));
      } else if (suspectedSinceMs.containsKey(m.memberId())) {
        // The member refuted the suspicion through the log.
        heartbeats.recordHeartbeat(m.memberId(), nowMs);
      }
    }
    suspectedSinceMs.clear();
    suspectedSinceMs.putAll(stillSuspected);
  }

  /** Returns the records to append; call only while the state is fresh and the log reachable. */
  List<RecordBody> due(MemberView view, long nowMs) {
    List<RecordBody> due = new ArrayList<>();
    if (view.self().filter(m -> m.isActive() && m.isSuspected()).isPresent()
        && proposals.tryPropose("alive", nowMs)) {
      due.add(new MemberAlive(view.selfId()));
    }
    if (!view.isActive()) {
      return view.self().isEmpty() ? expulsionsBeforeJoining(view, nowMs) : due;
    }
    long delayMs = view.rank() * MemberTimes.PROPOSAL_STAGGER_MS;
    boolean isMajorityHeard = isMajorityHeard(view, nowMs);
    for (MemberEntry m : view.active().filter(m -> !m.memberId().equals(view.selfId()))) {
      if (isInstanceRemoved(m, nowMs - delayMs, nowMs)) {
        propose(new MemberExpelled(m.memberId(), view.selfId(), ExpulsionReason.GONE), due, nowMs);
      } else if (isMajorityHeard && isSuspicionExpired(m, nowMs - delayMs)) {
        propose(
            new MemberExpelled(m.memberId(), view.selfId(), ExpulsionReason.SILENT), due, nowMs);
      } else if (isMajorityHeard
          && !m.isSuspected()
          && !heartbeats.isHeardRecently(m.memberId(), nowMs - delayMs)) {
        propose(new MemberSuspected(m.memberId(), view.selfId()), due, nowMs);
      }
    }
    for (MemberEntry m : view.departed().filter(MemberEntry::isCounting)) {
      if (isOwnPreviousIncarnation(view, m) || isInstanceRemoved(m, nowMs - delayMs, nowMs)) {
        propose(new MemberExpelled(m.memberId(), view.selfId(), ExpulsionReason.GONE), due, nowMs);
      }
    }
    return due;
  }

  /** Expels members whose instances were removed, so that a joining daemon can get a seat. */
  private List<RecordBody> expulsionsBeforeJoining(MemberView view, long nowMs) {
    List<RecordBody> due = new ArrayList<>();
    for (MemberEntry m : view.active().filter(m -> isInstanceRemoved(m, nowMs, nowMs))) {
      propose(new MemberExpelled(m.memberId(), view.selfId(), ExpulsionReason.GONE), due, nowMs);
    }
    return due;
  }

  /**
   * Returns whether the departed member is an earlier incarnation of this instance. It has ended,
   * because this incarnation runs in its place. If half of the members were expelled and joined
   * again, no majority could acknowledge their departure otherwise.
   */
  private static boolean isOwnPreviousIncarnation(MemberView view, MemberEntry departed) {
    return view.self()
        .filter(
            own ->
                own.instance().equals(departed.instance())
                    && own.joinedAtOffset() > departed.departedAtOffset())
        .isPresent();
  }

  /**
   * Returns whether a majority was heard recently. Without one, no expulsion could be confirmed, so
   * suspicions would only add useless records to the log.
   */
  private boolean isMajorityHeard(MemberView view, long nowMs) {
    int heard =
        view.counting()
            .count(
                m ->
                    m.memberId().equals(view.selfId())
                        || heartbeats.isHeardRecently(m.memberId(), nowMs));
    return view.isMajority(heard, view.counting().size());
  }

  private boolean isInstanceRemoved(MemberEntry m, long delayedNowMs, long nowMs) {
    return missingInstances.isRemoved(m.instance(), nowMs)
        && heartbeats.silenceMs(m.memberId(), delayedNowMs)
            >= MemberTimes.INSTANCE_REMOVED_AFTER_MS;
  }

  private boolean isSuspicionExpired(MemberEntry m, long delayedNowMs) {
    return suspectedSinceMs.containsKey(m.memberId())
        && delayedNowMs - suspectedSinceMs.get(m.memberId()) >= MemberTimes.EXPEL_AFTER_MS
        && !heartbeats.isHeardRecently(m.memberId(), delayedNowMs);
  }

  private void propose(RecordBody body, List<RecordBody> due, long nowMs) {
    if (proposals.tryPropose(body.toString(), nowMs)) {
      due.add(body);
    }
  }
}
