package org.laburnumarch.internal.entry;

import io.servicetalk.concurrent.api.Single;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.peer.PeerMessage.PoolDemand;
import org.laburnumarch.internal.queue.PoolQueue;
import org.laburnumarch.internal.queue.QueuedRequest;
import org.laburnumarch.internal.routing.ConnectionRule;
import org.laburnumarch.internal.routing.MinionState;
import org.laburnumarch.internal.routing.RetryBudget;

/**
 * Queues the requests of one pool and dispatches them to minions; guarded by the dispatcher's lock.
 */
final class PoolDispatcher {
  private static final long RETRY_AFTER_MS = 1_000;

  private final DispatchContext context;
  private final PoolMinions minions;
  private final PoolQueue<EntryRequest> queue = new PoolQueue<>();
  private final Set<Attempt> attempts = new LinkedHashSet<>();
  private final String pool;

  PoolDispatcher(String pool, DispatchContext context) {
    this.pool = pool;
    this.context = context;
    this.minions = new PoolMinions(pool, context::newClient);
  }

  void refresh(FleetView view, Effects effects) {
    minions.refresh(view, effects);
    queue.resize(minions.totalSlots());
  }

  void close(Effects effects) {
    minions.close(effects);
  }

  PoolDemand demand() {
    return new PoolDemand(pool, queue.running(), queue.queued());
  }

  boolean isIdle() {
    return attempts.isEmpty() && queue.queued() == 0;
  }

  void submit(EntryRequest request, long nowMs, Effects effects) {
    CallerRequest caller = request.caller();
    if (!minions.hasEligible(nowMs)) {
      context.refuse(request, noMinionAvailable(), effects);
      return;
    }
    queue
        .offer(request, caller.weight(), caller.maxQueued(), caller.deadlineMs(), nowMs)
        .peek(
            queued -> {
              request.setQueued(queued);
              dispatchQueued(nowMs, effects);
            })
        .peekLeft(refusal -> context.refuse(request, refusal, effects));
  }

  /** Removes a request whose caller has disconnected from the queue, if it is queued. */
  void abandon(EntryRequest request) {
    if (request.queued() != null) {
      queue.remove(request.queued());
    }
  }

  /** Dispatches queued requests while there are free slots and minions. */
  void dispatchQueued(long nowMs, Effects effects) {
    if (queue.queued() == 0) {
      return;
    }
    Optional<Refusal> refusal = context.checkAuthority();
    if (refusal.isPresent()) {
      refuseAll(refusal.get(), effects);
      return;
    }
    boolean mayContinue = true;
    while (mayContinue && queue.queued() > 0 && queue.hasIdleSlot()) {
      mayContinue = dispatchOne(nowMs, effects);
    }
    if (queue.queued() > 0 && !minions.hasEligible(nowMs)) {
      refuseAll(noMinionAvailable(), effects);
    }
  }

  void tick(long nowMs, Effects effects) {
    for (PoolQueue.Dropped<EntryRequest> dropped : queue.dropUnreachable(nowMs)) {
      context.refuse(dropped.request().item(), dropped.refusal(), effects);
    }
    for (Attempt attempt : List.copyOf(attempts)) {
      if (nowMs >= attempt.deadlineMs()) {
        timeOut(attempt, nowMs, effects);
      }
    }
    dispatchQueued(nowMs, effects);
  }

  void refuseAll(Refusal refusal, Effects effects) {
    for (QueuedRequest<EntryRequest> queued : queue.removeAll()) {
      context.refuse(queued.item(), refusal, effects);
    }
  }

  /** Ends all attempts as timed out, because the daemon has to stop. */
  void timeOutAll(long nowMs, Effects effects) {
    for (Attempt attempt : new ArrayList<>(attempts)) {
      endFailed(attempt, AttemptFailure.responseTimedOut(), nowMs, effects);
      PoolMinions.discard(attempt, effects);
      context.refuse(attempt.request(), AttemptFailure.responseTimedOut().refusal(), effects);
    }
  }

  /**
   * Checks again whether an attempt may write its request, since its connection took time to open;
   * ends the attempt if not.
   *
   * @return whether the request may be written now
   */
  boolean admitWrite(Attempt attempt, long nowMs, Effects effects) {
    if (attempt.isEnded()) {
      return false;
    }
    AttemptFailure failure = recheck(attempt, nowMs);
    return proceedUnlessFailed(
        attempt, failure == null ? recordWrite(attempt, nowMs) : failure, nowMs, effects);
  }

  /** Ends an attempt that failed before its write; returns whether there was no failure. */
  private boolean proceedUnlessFailed(
      Attempt attempt, AttemptFailure failure, long nowMs, Effects effects) {
    if (failure == null) {
      return true;
    }
    endFailed(attempt, failure, nowMs, effects);
    attempt.connection().markIdle(nowMs);
    attempt.link().keepIdle(attempt.connection(), effects);
    retryOrRefuse(attempt, failure, nowMs, effects);
    return false;
  }

  void onResponse(Attempt attempt, Reply.FromMinion reply, long nowMs, Effects effects) {
    if (attempt.isEnded()) {
      return;
    }
    if (attempt.connection().currentAttempt() != attempt) {
      onFailure(attempt, AttemptFailure.invariantBreach(foreignResponse(), true), nowMs, effects);
      return;
    }
    end(attempt, effects);
    queue.finish(attempt.request().queued(), nowMs - attempt.startedAtMs());
    context.units().release(attempt);
    boolean isLeaving = reply.headers().containsIgnoreCase("leaving", "true");
    minions.onResponse(attempt, reply, isLeaving, nowMs, effects);
    // A leaving minion refuses new requests with 503; an idempotent one may run at another minion.
    if (!isLeaving || reply.status().code() != 503 || !retry(attempt.request(), nowMs)) {
      context.complete(attempt.request(), reply, effects);
    }
    dispatchQueued(nowMs, effects);
  }

  void onFailure(Attempt attempt, AttemptFailure failure, long nowMs, Effects effects) {
    if (attempt.isEnded()) {
      return;
    }
    endFailed(attempt, failure, nowMs, effects);
    PoolMinions.discard(attempt, effects);
    retryOrRefuse(attempt, failure, nowMs, effects);
  }

  /** Removes a closed connection from the count, and dispatches requests that waited for it. */
  void connectionClosed(MinionLink link, MinionConnection connection, long nowMs, Effects effects) {
    link.connectionClosed(connection);
    dispatchQueued(nowMs, effects);
  }

  private boolean dispatchOne(long nowMs, Effects effects) {
    Optional<MinionLink> link = minions.choose(nowMs);
    Optional<QueuedRequest<EntryRequest>> next =
        link.isEmpty() ? Optional.empty() : queue.poll(context::acquire, nowMs);
    if (next.isEmpty()) {
      return false;
    }
    QueuedRequest<EntryRequest> queued = next.get();
    CallerRequest caller = queued.item().caller();
    boolean holdsUnit = context.isLimited(caller.team());
    long deadlineMs =
        RetryBudget.attemptDeadlineMs(
            caller.isIdempotent(), queued.item().retriesDone(), caller.deadlineMs(), nowMs);
    Attempt attempt = new Attempt(queued.item(), link.get(), holdsUnit, nowMs, deadlineMs);
    Optional<Refusal> refusal = DispatchCheck.recheck(caller, context.state(), nowMs);
    if (refusal.isPresent()) {
      queue.revertDispatch(queued);
      context.units().release(attempt);
      context.refuse(queued.item(), refusal.get(), effects);
      return true;
    }
    start(attempt, nowMs, effects);
    return true;
  }

  private void start(Attempt attempt, long nowMs, Effects effects) {
    if (attempt.request().retriesDone() == 0) {
      context.retries().countRequest();
    }
    context.metrics().recordWait(nowMs - attempt.request().queued().queuedAtMs());
    attempts.add(attempt);
    MinionLink link = attempt.link();
    link.requestStarted();
    Optional<MinionConnection> idle = link.takeIdle(attempt.caller().isIdempotent(), nowMs);
    if (idle.isPresent()) {
      attempt.useConnection(idle.get());
      if (!ConnectionRule.isFresh(idle.get().idleSinceMs(), nowMs)) {
        double expectedMs = queue.expectedSlotMs(attempt.caller().team());
        attempt.changeDeadlineTo(
            RetryBudget.staleAttemptDeadlineMs(attempt.deadlineMs(), expectedMs, nowMs));
      }
      // All checks were made above under the same lock; only the invariants are asserted.
      if (proceedUnlessFailed(attempt, recordWrite(attempt, nowMs), nowMs, effects)) {
        effects.add(() -> context.driver().exchange(this, attempt));
      }
      return;
    }
    Single<MinionConnection> opening = link.open();
    effects.add(() -> context.driver().open(this, attempt, opening));
  }

  private void timeOut(Attempt attempt, long nowMs, Effects effects) {
    boolean isTimeLeft = nowMs < attempt.caller().deadlineMs();
    boolean isRetried = isTimeLeft && mayRetry(attempt.request());
    if (isTimeLeft && !isRetried) {
      attempt.changeDeadlineTo(attempt.caller().deadlineMs());
      return;
    }
    AttemptFailure failure =
        attempt.connection() == null
            ? AttemptFailure.connectTimedOut()
            : AttemptFailure.responseTimedOut();
    endFailed(attempt, failure, nowMs, effects);
    PoolMinions.discard(attempt, effects);
    if (isRetried) {
      requeue(attempt.request(), nowMs);
    } else {
      context.refuse(attempt.request(), failure.refusal(), effects);
    }
  }

  private void retryOrRefuse(Attempt attempt, AttemptFailure failure, long nowMs, Effects effects) {
    EntryRequest request = attempt.request();
    boolean isRetried =
        switch (failure.next()) {
          case RETRY -> retry(request, nowMs);
          case REROUTE -> reroute(request, nowMs);
          case REFUSE -> false;
        };
    if (!isRetried) {
      context.refuse(request, failure.refusal(), effects);
    }
    dispatchQueued(nowMs, effects);
  }

  private boolean reroute(EntryRequest request, long nowMs) {
    boolean isRerouted = nowMs < request.caller().deadlineMs() && !request.isFinished();
    if (isRerouted) {
      requeue(request, nowMs);
    }
    return isRerouted;
  }

  private boolean retry(EntryRequest request, long nowMs) {
    boolean isRetried = nowMs < request.caller().deadlineMs() && mayRetry(request);
    if (isRetried) {
      requeue(request, nowMs);
    }
    return isRetried;
  }

  private boolean mayRetry(EntryRequest request) {
    return !request.isFinished()
        && context
            .retries()
            .tryRetry(request.caller().isIdempotent(), request.isWritten(), request.retriesDone());
  }

  private void requeue(EntryRequest request, long nowMs) {
    request.countRetry();
    context.metrics().countRetry();
    queue.requeue(request.queued(), nowMs);
  }

  private void endFailed(Attempt attempt, AttemptFailure failure, long nowMs, Effects effects) {
    end(attempt, effects);
    if (failure.next() == AttemptFailure.Next.RETRY) {
      minions.recordFailure(attempt, nowMs);
    }
    if (attempt.isWritten() && !failure.isWritten()) {
      attempt.request().undoWrite();
    }
    if (failure.isWritten()) {
      queue.finish(attempt.request().queued(), nowMs - attempt.startedAtMs());
      context.units().releaseAtDeadline(attempt);
    } else {
      queue.revertDispatch(attempt.request().queued());
      context.units().release(attempt);
    }
  }

  private void end(Attempt attempt, Effects effects) {
    attempt.end();
    attempts.remove(attempt);
    attempt.link().requestEnded(effects);
  }

  /** Returns why the request may not be written to the minion any more, or null if it may. */
  private AttemptFailure recheck(Attempt attempt, long nowMs) {
    Optional<Refusal> refusal =
        attempt.request().isFinished()
            ? Optional.of(Refusal.of(ResultCode.INTERNAL_ERROR, "the caller has disconnected"))
            : DispatchCheck.recheck(attempt.caller(), context.state(), nowMs)
                .or(context::checkAuthority);
    if (refusal.isPresent()) {
      return AttemptFailure.refused(refusal.get());
    }
    MinionState state = minions.stateOf(attempt.link(), nowMs);
    boolean isRerouted = !state.isUsable() && state != MinionState.FAILING;
    return isRerouted ? AttemptFailure.rerouted(noMinionAvailable()) : null;
  }

  /**
   * Records the write, or returns a failure without recording it if it would break an invariant.
   */
  private AttemptFailure recordWrite(Attempt attempt, long nowMs) {
    try {
      DispatchCheck.assertKey(attempt.caller(), context.state());
      minions.assertMayReceive(attempt.link(), context.state(), nowMs);
      attempt.recordWrite();
      return null;
    } catch (InvariantBreachException e) {
      context.metrics().recordBreach(e);
      return AttemptFailure.invariantBreach(e, false);
    }
  }

  private Refusal noMinionAvailable() {
    return Refusal.retryable(
        ResultCode.NO_MINION_AVAILABLE,
        "no minion of pool " + pool + " is available for the request now; retry later",
        RETRY_AFTER_MS);
  }

  private static InvariantBreachException foreignResponse() {
    return new InvariantBreachException(
        ResultCode.INVARIANT_WHOLE_ANSWER,
        "a response came on a connection that another request uses");
  }
}
