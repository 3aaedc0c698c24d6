package org.laburnumarch.internal.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.lead.HandoverPolicy;
import org.laburnumarch.internal.lead.InstanceSize;
import org.laburnumarch.internal.lead.LoadSample;
import org.laburnumarch.internal.lead.OwnerTenure;
import org.laburnumarch.internal.link.LinkMessage.HandoverMessage;
import org.laburnumarch.internal.link.LinkMessage.Offer;
import org.laburnumarch.internal.link.LinkMessage.OfferReply;
import org.laburnumarch.internal.link.LinkMessage.Released;
import org.laburnumarch.internal.link.LinkMessage.StateReport;
import org.laburnumarch.internal.metrics.Meters;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/**
 * The owner's part of a planned handover: carries out what {@link HandoverPolicy} decides. Used on
 * one thread only.
 */
final class HandoverOffers {

  /** Time for which a stopping owner waits at least for the states of the other daemons. */
  private static final long STATES_WAIT_MS = 150;

  /** Time for which it waits if none can own the fleet so far; a slow store answers in 240 ms. */
  private static final long MAX_STATES_WAIT_MS = 350;

  /** Time until a stopping owner looks again whether a daemon can own the fleet. */
  private static final long STATES_RETRY_MS = 25;

  /** Time after which a stopping owner makes no further offer. */
  private static final long STOP_WAIT_MS = 700;

  /** Carries out a release. */
  interface Releaser {

    /** Sends a heartbeat to all daemons now. */
    void sendHeartbeat();

    /**
     * Stops all orders.
     *
     * @return completes when the ownership can be released
     */
    CompletionStage<Void> stopOrders();
  }

  private record OpenOffer(long number, HandoverPolicy.Offer offer, long sentAtMs) {}

  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private final InstanceSize ownSize;
  private final Election election;
  private final Meters meters;
  private final Releaser releaser;
  private final Map<String, Consumer<HandoverMessage>> senders = new HashMap<>();
  private Optional<HandoverPolicy> policy = Optional.empty();
  private Optional<OpenOffer> open = Optional.empty();
  private Optional<Runnable> onStopped = Optional.empty();
  private long stoppingSinceMs;
  private long lastNumber;
  private boolean isReleasing;

  HandoverOffers(
      EventLoopThread loop,
      SuspendAwareClock clock,
      InstanceSize ownSize,
      Election election,
      Meters meters,
      Releaser releaser) {
    this.loop = loop;
    this.clock = clock;
    this.ownSize = ownSize;
    this.election = election;
    this.meters = meters;
    this.releaser = releaser;
    meters.registerGauge(
        "owner_lost_to_limits_ms", () -> policy.map(HandoverPolicy::lossMs).orElse(0.0));
  }

  /** Records that this daemon owns the fleet from now on. */
  void onGained() {
    onLost();
    policy = Optional.of(new HandoverPolicy(ownSize, clock.nowMs()));
  }

  /** Records that this daemon does not own the fleet any more. */
  void onLost() {
    policy = Optional.empty();
    open = Optional.empty();
    isReleasing = false;
    senders.clear();
    finishStop();
  }

  /** Returns whether the other daemons should report their states. */
  boolean isSeeking() {
    return policy.map(HandoverPolicy::isSeeking).orElse(false);
  }

  /** Applies the owner's measurements of a second. */
  void onSample(LoadSample sample) {
    policy.ifPresent(deciding -> deciding.onSample(sample, clock.nowMs()));
  }

  /**
   * Hands the ownership over because this daemon stops.
   *
   * @param whenDone run when the ownership has been handed over, and if this daemon does not own
   *     the fleet or no other daemon accepts
   */
  void stop(Runnable whenDone) {
    if (policy.isEmpty()) {
      whenDone.run();
      return;
    }
    onStopped = Optional.of(whenDone);
    policy.get().onStopping();
    stoppingSinceMs = clock.nowMs();
    releaser.sendHeartbeat();
    loop.schedule(STATES_WAIT_MS, this::decide);
  }

  /** Makes the offer that is due, if any. */
  void decide() {
    long nowMs = clock.nowMs();
    if (open.isPresent() || isReleasing) {
      return;
    }
    boolean isStopping = onStopped.isPresent();
    long waitedMs = nowMs - stoppingSinceMs;
    if (isStopping && waitedMs < STATES_WAIT_MS) {
      return;
    }
    Optional<HandoverPolicy.Offer> due =
        isStopping && waitedMs >= STOP_WAIT_MS
            ? Optional.empty()
            : policy.flatMap(deciding -> deciding.decide(nowMs));
    if (due.isPresent()) {
      offer(due.get(), nowMs);
    } else if (isStopping && waitedMs < MAX_STATES_WAIT_MS) {
      loop.schedule(STATES_RETRY_MS, this::decide);
    } else {
      finishStop();
    }
  }

  private void finishStop() {
    Optional<Runnable> whenDone = onStopped;
    onStopped = Optional.empty();
    whenDone.ifPresent(Runnable::run);
  }

  private void offer(HandoverPolicy.Offer offer, long nowMs) {
    Optional<OwnerTenure> tenure = election.tenure();
    if (tenure.isEmpty()) {
      return;
    }
    OpenOffer created = new OpenOffer(++lastNumber, offer, nowMs);
    open = Optional.of(created);
    Logger.info(
        "owner: event=offer term={} successor={} reason={} lostMs={}",
        tenure.get().term(),
        offer.successor(),
        offer.reason(),
        Math.round(policy.map(HandoverPolicy::lossMs).orElse(0.0)));
    senders.get(offer.successor()).accept(new Offer(tenure.get().term(), created.number()));
    loop.schedule(
        HandoverPolicy.OFFER_TIMEOUT_MS,
        () -> {
          if (open.equals(Optional.of(created))) {
            onNotAccepted(created, "no reply");
          }
        });
  }

  /**
   * Handles a message of another daemon.
   *
   * @param sender sends messages to that daemon
   */
  void onMessage(HandoverMessage message, Consumer<HandoverMessage> sender) {
    if (message instanceof StateReport report && policy.isPresent()) {
      policy.get().onState(report.state(), clock.nowMs());
      senders.put(report.state().holder(), sender);
    } else if (message instanceof OfferReply reply
        && open.map(OpenOffer::number).equals(Optional.of(reply.number()))) {
      if (reply.isAccepted()) {
        release(open.get());
      } else {
        onNotAccepted(open.get(), reply.cause());
      }
    }
  }

  private void onNotAccepted(OpenOffer withdrawn, String cause) {
    open = Optional.empty();
    logOutcome(withdrawn, "not-accepted", cause);
    policy.ifPresent(
        deciding -> deciding.onNotAccepted(withdrawn.offer().successor(), clock.nowMs()));
    decide();
  }

  private void release(OpenOffer accepted) {
    open = Optional.empty();
    isReleasing = true;
    Consumer<HandoverMessage> sender = senders.get(accepted.offer().successor());
    election.releaseTo(
        accepted.offer().successor(),
        releaser::stopOrders,
        (record, endOffset) -> {
          sender.accept(new Released(record.encode(), endOffset));
          logOutcome(accepted, "released", endOffset < 0 ? "not confirmed by the store" : "");
        },
        () -> {
          isReleasing = false;
          onNotAccepted(accepted, "the store does not answer");
        });
  }

  private void logOutcome(OpenOffer offer, String outcome, String cause) {
    meters.count("ownership_offers_total", offer.offer().reason() + " " + outcome);
    Logger.info(
        "owner: event=offer-ended successor={} reason={} outcome={} afterMs={} cause=\"{}\"",
        offer.offer().successor(),
        offer.offer().reason(),
        outcome,
        clock.nowMs() - offer.sentAtMs(),
        cause);
  }
}
