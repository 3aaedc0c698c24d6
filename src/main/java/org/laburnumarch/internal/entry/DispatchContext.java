package org.laburnumarch.internal.entry;

import java.util.Optional;
import org.laburnumarch.Outcome;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.routing.RetryBudget;
import org.laburnumarch.internal.state.ControlState;

/** Dependencies and state that the pools of one entry share; guarded by the dispatcher's lock. */
final class DispatchContext {
  private final EntryEnvironment environment;
  private final EntryMetrics metrics;
  private final int connectTimeoutMs;
  private final RetryBudget retries = new RetryBudget();
  private final UnitTracker units;
  private final AttemptDriver driver;
  private ControlState state = ControlState.empty();

  DispatchContext(
      EntryEnvironment environment,
      EntryMetrics metrics,
      int connectTimeoutMs,
      AttemptDriver driver) {
    this.environment = environment;
    this.metrics = metrics;
    this.connectTimeoutMs = connectTimeoutMs;
    this.driver = driver;
    this.units = new UnitTracker(environment.gate());
  }

  /** Sets the control state for the action that begins under the lock. */
  void setState(ControlState newState) {
    state = newState;
  }

  /** Returns the control state of the current action under the lock. */
  ControlState state() {
    return state;
  }

  EntryMetrics metrics() {
    return metrics;
  }

  RetryBudget retries() {
    return retries;
  }

  UnitTracker units() {
    return units;
  }

  AttemptDriver driver() {
    return driver;
  }

  MinionClient newClient(String address) {
    return new MinionClient(address, connectTimeoutMs);
  }

  Optional<Refusal> checkAuthority() {
    return environment.gate().checkAuthority();
  }

  /** Returns whether a team has an upper limit; only the reserved team has none. */
  boolean isLimited(String team) {
    return state().text().map(text -> text.teams().containsKey(team)).orElse(false);
  }

  boolean acquire(String team) {
    return !isLimited(team) || units.tryAcquire(team);
  }

  /** Completes a request with its final reply, unless it has one or its caller has disconnected. */
  void complete(EntryRequest request, Reply reply, Effects effects) {
    if (request.isFinished()) {
      return;
    }
    Reply checkedReply = reply;
    try {
      request.finish(reply.code());
    } catch (InvariantBreachException e) {
      metrics.recordBreach(e);
      request.finish(e.code());
      Refusal refusal = Refusal.of(e.code(), e.getMessage());
      checkedReply = new Reply.FromEntry(e.code(), EntryResponse.refused(refusal));
    }
    Reply finalReply = checkedReply;
    metrics.recordReply(
        finalReply.code(), environment.clock().nowMs() - request.caller().arrivedAtMs());
    effects.add(() -> request.deliver(finalReply));
  }

  /** Refuses a request; the outcome of one that may have run is unknown, whatever the reason. */
  void refuse(EntryRequest request, Refusal refusal, Effects effects) {
    boolean isOutcomeWrong = request.isWritten() && refusal.code().outcome() == Outcome.NOT_RUN;
    Refusal checkedRefusal =
        isOutcomeWrong
            ? Refusal.of(
                ResultCode.OUTCOME_UNKNOWN,
                "the request was sent and got no response; find out whether it ran. It was not sent again: "
                    + refusal.message())
            : refusal;
    complete(
        request,
        new Reply.FromEntry(checkedRefusal.code(), EntryResponse.refused(checkedRefusal)),
        effects);
  }
}
