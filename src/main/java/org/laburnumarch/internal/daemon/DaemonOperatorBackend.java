package org.laburnumarch.internal.daemon;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.operator.FleetStatus;
import org.laburnumarch.internal.operator.OperatorBackend;
import org.laburnumarch.internal.peer.PeerMessage;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.Envelope;
import org.laburnumarch.internal.state.MemberEntry;
import org.laburnumarch.internal.state.RecordResult;

/** Carries out operators' changes through the control log. */
final class DaemonOperatorBackend implements OperatorBackend {

  /**
   * Time within which a majority has to apply a change; after it, the operator gets the result
   * {@code NOT_IN_FORCE_YET}.
   */
  private static final long IN_FORCE_TIMEOUT_MS = 5_000;

  private final CoreLoop core;
  private final ControlLog log;
  private final Membership membership;
  private final InForceWatch inForce;
  private final BooleanSupplier isReady;

  DaemonOperatorBackend(
      CoreLoop core,
      ControlLog log,
      Membership membership,
      InForceWatch inForce,
      BooleanSupplier isReady) {
    this.core = core;
    this.log = log;
    this.membership = membership;
    this.inForce = inForce;
    this.isReady = isReady;
  }

  @Override
  public ControlState state() {
    return log.state();
  }

  @Override
  public CompletionStage<RecordResult> submit(Envelope envelope) {
    return log.submit(envelope)
        .thenCompose(
            result ->
                result.fold(
                    refusal ->
                        CompletableFuture.completedFuture(abandonedResult(envelope, refusal)),
                    this::whenInForce));
  }

  private RecordResult abandonedResult(Envelope envelope, Refusal refusal) {
    return new RecordResult(
        MemberEntry.NO_OFFSET,
        envelope.operationId(),
        Optional.of(refusal),
        log.state().textVersion());
  }

  private CompletionStage<RecordResult> whenInForce(RecordResult result) {
    if (!result.isAccepted()) {
      return CompletableFuture.completedFuture(result);
    }
    return core.call(() -> inForce.await(result.offset(), core.nowMs() + IN_FORCE_TIMEOUT_MS))
        .thenCompose(stage -> stage)
        .thenApply(isInForce -> isInForce ? result : notInForce(result));
  }

  private static RecordResult notInForce(RecordResult result) {
    Refusal refusal =
        Refusal.retryable(
            ResultCode.NOT_IN_FORCE_YET,
            "the change is recorded, but a majority of the daemons has not applied it; see which"
                + " with the status command, and repeat this command with the same operation id",
            1_000);
    return new RecordResult(
        result.offset(), result.operationId(), Optional.of(refusal), result.textVersion());
  }

  @Override
  public CompletionStage<FleetStatus> status() {
    return CompletableFuture.completedFuture(
        new FleetStatus(membership.memberId(), isReady.getAsBoolean(), members()));
  }

  private List<FleetStatus.MemberView> members() {
    ControlState state = log.state();
    return state
        .members()
        .values()
        .filter(MemberEntry::isActive)
        .map(member -> view(member, state))
        .toJavaList();
  }

  private FleetStatus.MemberView view(MemberEntry member, ControlState state) {
    boolean isSelf = member.memberId().equals(membership.memberId());
    Optional<ReceivedReport> received =
        Optional.ofNullable(membership.reports().get(member.memberId()));
    long reportedOffset =
        received.map(r -> r.report().nextOffset()).orElse(member.acknowledgedOffset());
    return new FleetStatus.MemberView(
        member.memberId(),
        member.instance(),
        member.dataCentre(),
        isSelf ? state.nextOffset() : reportedOffset,
        isSelf ? membership.freshnessAgeMs() : freshnessAgeMs(received),
        member.isCounting(),
        isSelf || received.filter(r -> r.isRecent(core.nowMs())).isPresent());
  }

  private static long freshnessAgeMs(Optional<ReceivedReport> received) {
    return received
        .map(r -> r.report().freshnessAgeMs())
        .filter(ageMs -> ageMs < PeerMessage.Report.NEVER_FRESH_MS)
        .orElse(-1L);
  }
}
