package org.laburnumarch.internal.entry;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.peer.PeerMessage.PoolDemand;
import org.tinylog.Logger;

/**
 * Queues, dispatches and completes all requests of one entry.
 *
 * <p>State changes are short and run under one lock, on the event loop of the event that caused
 * them. I/O and callbacks that they cause run after the lock is released.
 */
final class RequestDispatcher {

  /** Changes state under the lock at one instant; leaves I/O and callbacks to the effects. */
  @FunctionalInterface
  interface LockedAction {
    void run(long nowMs, Effects effects);
  }

  private final Object lock = new Object();
  private final EntryEnvironment environment;
  private final DispatchContext context;
  private final SortedMap<String, PoolDispatcher> pools = new TreeMap<>();
  private final CompletableFuture<Boolean> drained = new CompletableFuture<>();
  private FleetView view = FleetView.empty();
  private boolean isDraining;
  private long drainDeadlineMs = Long.MAX_VALUE;

  RequestDispatcher(EntryEnvironment environment, EntryMetrics metrics, int connectTimeoutMs) {
    this.environment = environment;
    this.context =
        new DispatchContext(environment, metrics, connectTimeoutMs, new AttemptDriver(this));
  }

  /** Runs an action under the lock with the newest control state, then its effects without it. */
  void runLocked(LockedAction action) {
    Effects effects = new Effects();
    synchronized (lock) {
      if (!view.isViewOf(environment.state().get())) {
        refresh(effects);
      }
      context.setState(view.state());
      action.run(environment.clock().nowMs(), effects);
    }
    effects.run();
  }

  /** Queues or refuses a request; {@link EntryRequest#reply} completes with the result. */
  void submit(EntryRequest request) {
    runLocked(
        (nowMs, effects) -> {
          Optional<Refusal> refusal = readiness();
          if (refusal.isPresent()) {
            context.refuse(request, refusal.get(), effects);
            return;
          }
          pool(request.caller().pool(), effects).submit(request, nowMs, effects);
        });
  }

  /** Abandons a request whose caller has disconnected; if sent already, it still runs. */
  void abandon(EntryRequest request) {
    runLocked(
        (nowMs, effects) -> {
          if (!request.isFinished()) {
            request.finish(ResultCode.OUTCOME_UNKNOWN);
            pool(request.caller().pool(), effects).abandon(request);
          }
        });
  }

  /** Returns why a request would be refused now, or empty if it would not. */
  Optional<Refusal> checkReady() {
    synchronized (lock) {
      return readiness();
    }
  }

  /** Checks deadlines, applies changed routing inputs and checks whether draining has ended. */
  void tick() {
    runLocked(
        (nowMs, effects) -> {
          if (!FleetView.of(environment).isSameAs(view)) {
            refresh(effects);
          }
          context.units().releaseDue(nowMs);
          pools.values().forEach(pool -> pool.tick(nowMs, effects));
          checkDrained(nowMs, effects);
        });
  }

  /** Dispatches the queued requests that may run now, after units or authority were gained. */
  void dispatchQueued() {
    runLocked(
        (nowMs, effects) -> pools.values().forEach(pool -> pool.dispatchQueued(nowMs, effects)));
  }

  List<PoolDemand> demand() {
    synchronized (lock) {
      return pools.values().stream().map(PoolDispatcher::demand).toList();
    }
  }

  void beginDrain() {
    runLocked(
        (nowMs, effects) -> {
          isDraining = true;
          pools.values().forEach(pool -> pool.refuseAll(shuttingDown(), effects));
          checkDrained(nowMs, effects);
        });
  }

  CompletionStage<Boolean> awaitDrained(long deadlineMs) {
    runLocked(
        (nowMs, effects) -> {
          drainDeadlineMs = deadlineMs;
          checkDrained(nowMs, effects);
        });
    return drained.minimalCompletionStage();
  }

  /** Closes all connections to minions. */
  void close() {
    runLocked((nowMs, effects) -> pools.values().forEach(pool -> pool.close(effects)));
  }

  private void checkDrained(long nowMs, Effects effects) {
    if (!isDraining || drained.isDone()) {
      return;
    }
    boolean isIdle =
        context.units().isEmpty() && pools.values().stream().allMatch(PoolDispatcher::isIdle);
    if (isIdle) {
      effects.add(() -> drained.complete(true));
    } else if (nowMs >= drainDeadlineMs) {
      Logger.warn("entry: drain deadline reached; the remaining requests are ended as timed out");
      pools.values().forEach(pool -> pool.timeOutAll(nowMs, effects));
      effects.add(() -> drained.complete(false));
    }
  }

  private Optional<Refusal> readiness() {
    if (isDraining) {
      return Optional.of(shuttingDown());
    }
    if (environment.state().get().text().isEmpty()) {
      return Optional.of(
          Refusal.retryable(ResultCode.NOT_READY, "no configuration is in force yet", 1_000));
    }
    if (environment.seat().getAsInt() < 0) {
      return Optional.of(
          Refusal.retryable(ResultCode.NO_SEAT, "this entry has not joined the fleet yet", 1_000));
    }
    return context.checkAuthority();
  }

  private void refresh(Effects effects) {
    view = FleetView.of(environment);
    pools.values().forEach(pool -> pool.refresh(view, effects));
  }

  private PoolDispatcher pool(String name, Effects effects) {
    PoolDispatcher pool = pools.get(name);
    if (pool == null) {
      pool = new PoolDispatcher(name, context);
      pools.put(name, pool);
      pool.refresh(view, effects);
    }
    return pool;
  }

  private static Refusal shuttingDown() {
    return Refusal.retryable(
        ResultCode.SHUTTING_DOWN, "this entry is shutting down; use another one", 1_000);
  }
}
