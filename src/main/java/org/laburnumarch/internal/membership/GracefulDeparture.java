package org.laburnumarch.internal.membership;

import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.internal.limit.AllowanceLedger;
import org.laburnumarch.internal.limit.AllowancePolicy;
import org.laburnumarch.internal.state.RecordBody.MemberLeft;

/** Graceful departure: waits for work to end, moves allowance to peers, appends the departure. */
final class GracefulDeparture {
  /** Time for transfers and the departure record after the last request has ended. */
  private static final long HANDOVER_MS = 4_000;

  private static final long CONFIRMATION_WAIT_MS = 2_000;
  private static final long NOT_LEAVING_MS = Long.MAX_VALUE;

  private final AllowanceLedger ledger;
  private final AllowancePolicy policy;
  private final ProposalThrottle proposals;
  private long startedAtMs = NOT_LEAVING_MS;
  private long idleSinceMs = NOT_LEAVING_MS;
  private boolean isDepartureProposed;

  GracefulDeparture(AllowanceLedger ledger, AllowancePolicy policy, ProposalThrottle proposals) {
    this.ledger = ledger;
    this.policy = policy;
    this.proposals = proposals;
  }

  void begin(long nowMs) {
    startedAtMs = Math.min(startedAtMs, nowMs);
  }

  boolean isLeaving() {
    return startedAtMs != NOT_LEAVING_MS;
  }

  /** Returns whether the departure record may already be in the log. */
  boolean isDepartureProposed() {
    return isDepartureProposed;
  }

  List<MembershipEffect> due(MemberView view, boolean isLogReachable, long nowMs) {
    if (!isLeaving()) {
      return List.of();
    }
    boolean isIdle = ledger.runningUnits() == 0;
    boolean isMember = view.isActive(view.selfId());
    if (isIdle && !isMember) {
      return List.of(new MembershipEffect.ReadyToExit(true));
    }
    if (nowMs - startedAtMs >= MemberTimes.MAX_REQUEST_MS + HANDOVER_MS) {
      return List.of(new MembershipEffect.ReadyToExit(false));
    }
    return isIdle ? handOver(view, isLogReachable, nowMs) : List.of();
  }

  private List<MembershipEffect> handOver(MemberView view, boolean isLogReachable, long nowMs) {
    idleSinceMs = Math.min(idleSinceMs, nowMs);
    List<MembershipEffect> effects = new ArrayList<>();
    policy
        .transferAllSpare(nowMs)
        .forEach(
            transfer ->
                effects.add(new MembershipEffect.Send(transfer.memberId(), transfer.message())));
    boolean isHandedOver =
        ledger.isEveryTransferConfirmed() || nowMs - idleSinceMs >= CONFIRMATION_WAIT_MS;
    if (isHandedOver && isLogReachable && proposals.tryPropose("left", nowMs)) {
      isDepartureProposed = true;
      effects.add(new MembershipEffect.Append(new MemberLeft(view.selfId())));
    }
    return effects;
  }
}
