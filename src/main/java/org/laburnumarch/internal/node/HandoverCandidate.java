package org.laburnumarch.internal.node;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.laburnumarch.internal.lead.DaemonState;
import org.laburnumarch.internal.lead.HandoverPolicy;
import org.laburnumarch.internal.lead.InstanceSize;
import org.laburnumarch.internal.lead.OwnerRecord;
import org.laburnumarch.internal.lead.OwnerWatch;
import org.laburnumarch.internal.link.LinkMessage.HandoverMessage;
import org.laburnumarch.internal.link.LinkMessage.Heartbeat;
import org.laburnumarch.internal.link.LinkMessage.Offer;
import org.laburnumarch.internal.link.LinkMessage.OfferReply;
import org.laburnumarch.internal.link.LinkMessage.Released;
import org.laburnumarch.internal.link.LinkMessage.StateReport;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/**
 * The part of a daemon that does not own the fleet in a planned handover: reports its state while
 * the owner seeks a successor, replies to an offer and claims what was released to it. It reads and
 * writes the store only while the owner seeks. Used on one thread only.
 */
final class HandoverCandidate {

  /** Time between two reports. */
  private static final long REPORT_EVERY_MS = 900;

  /** Number of timers whose delays are kept; those of the last second. */
  private static final int TIMERS = 4;

  private final StoreClient store;
  private final SuspendAwareClock clock;
  private final DaemonDirectory daemons;
  private final InstanceSize size;
  private final String holder;
  private final Election election;
  private final long startedAtMs;
  private final Deque<Long> timerDelaysMs = new ArrayDeque<>();
  private Optional<DaemonState> reported = Optional.empty();
  private long reportedAtMs = Long.MIN_VALUE / 2;
  private long probedAtMs = Long.MIN_VALUE / 2;
  private Optional<OwnerRecord> released = Optional.empty();
  private boolean isStopping;

  HandoverCandidate(
      StoreClient store,
      SuspendAwareClock clock,
      DaemonDirectory daemons,
      InstanceSize size,
      String holder,
      Election election) {
    this.store = store;
    this.clock = clock;
    this.daemons = daemons;
    this.size = size;
    this.holder = holder;
    this.election = election;
    this.startedAtMs = clock.nowMs();
  }

  /** Records by how much a periodic timer of this daemon ran late. */
  void onTimer(long delayMs) {
    timerDelaysMs.addLast(Math.max(0, delayMs));
    if (timerDelaysMs.size() > TIMERS) {
      timerDelaysMs.removeFirst();
    }
  }

  /**
   * Returns whether this daemon has the processor time that an owner needs.
   *
   * @param delayMs by how much the periodic timer is late now
   */
  boolean isResponsive(long delayMs) {
    return DaemonState.isResponsive(
        clock.nowMs() - startedAtMs, Math.max(delayMs, maxTimerDelayMs()));
  }

  private long maxTimerDelayMs() {
    return timerDelaysMs.stream().mapToLong(Long::longValue).max().orElse(0);
  }

  /** Records that this daemon is stopping; it accepts no offer any more. */
  void onStopping() {
    isStopping = true;
  }

  /**
   * Handles a heartbeat of the owner.
   *
   * @param sender sends messages to the owner
   */
  void onHeartbeat(Heartbeat heartbeat, Consumer<HandoverMessage> sender) {
    long nowMs = clock.nowMs();
    if (heartbeat.isSeekingSuccessor() && nowMs - probedAtMs >= REPORT_EVERY_MS) {
      probedAtMs = nowMs;
      probe(nowMs, sender);
    }
  }

  private void probe(long sentAtMs, Consumer<HandoverMessage> sender) {
    CompletionStage<Long> read =
        durationMs(
            store.readNewest(
                StoreClient.OWNERSHIP_LOG, Optional.empty(), OwnerWatch.READ_TIMEOUT_MS),
            sentAtMs);
    CompletionStage<Long> write = durationMs(daemons.writeOwnRecord(), sentAtMs);
    read.thenAcceptBoth(write, (readMs, writeMs) -> report(readMs, writeMs, sender));
  }

  private CompletionStage<Long> durationMs(CompletionStage<?> call, long sentAtMs) {
    return call.handle((result, failure) -> failure == null ? clock.nowMs() - sentAtMs : -1L);
  }

  private void report(long readMs, long writeMs, Consumer<HandoverMessage> sender) {
    long nowMs = clock.nowMs();
    DaemonState state =
        new DaemonState(
            holder, size, isStopping, nowMs - startedAtMs, readMs, writeMs, maxTimerDelayMs());
    reported = Optional.of(state);
    reportedAtMs = nowMs;
    sender.accept(new StateReport(state));
  }

  /**
   * Handles a message of the owner.
   *
   * @param sender sends messages to the owner
   */
  void onMessage(HandoverMessage message, Consumer<HandoverMessage> sender) {
    if (message instanceof Offer offer) {
      String cause = causeToRefuse(offer);
      Logger.info(
          "owner: event=offered term={} accepted={} cause=\"{}\"",
          offer.term(),
          cause.isEmpty(),
          cause);
      sender.accept(new OfferReply(offer.number(), cause));
    } else if (message instanceof Released handedOver) {
      claim(handedOver);
    }
  }

  private String causeToRefuse(Offer offer) {
    if (isStopping) {
      return "stopping";
    }
    if (election.owner().map(OwnerRecord::term).orElse(0L) != offer.term()) {
      return "another owner is known";
    }
    boolean isCurrent = clock.nowMs() - reportedAtMs <= HandoverPolicy.MAX_STATE_AGE_MS;
    return isCurrent && reported.map(DaemonState::canOwn).orElse(false) ? "" : "slow or cut off";
  }

  private void claim(Released handedOver) {
    try {
      OwnerRecord record = OwnerRecord.decode(handedOver.record());
      if (record.successor().equals(holder)) {
        released = Optional.of(record);
        election.claimReleased(record, handedOver.endOffset());
      }
    } catch (IOException e) {
      Logger.warn("link: event=unreadable-release cause={}", e.getMessage());
    }
  }

  /** Returns whether an earlier owner has told this daemon that it gives no more orders. */
  boolean hasStopped(OwnerRecord earlier) {
    return released
        .map(record -> record.term() == earlier.term() && record.holder().equals(earlier.holder()))
        .orElse(false);
  }
}
