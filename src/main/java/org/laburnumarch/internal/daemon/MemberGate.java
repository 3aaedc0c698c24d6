package org.laburnumarch.internal.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.Outcome;
import org.laburnumarch.Refusal;
import org.laburnumarch.internal.entry.DispatchGate;
import org.laburnumarch.internal.membership.MemberDecisions;
import org.laburnumarch.internal.time.MonotonicClock;

/** Allows the entry to dispatch work only as far as the daemon's membership permits. */
final class MemberGate implements DispatchGate {
  private final Membership membership;
  private final MonotonicClock clock;
  private final CoreLoop core;

  /** Units still in use by work of expelled incarnations, by team. */
  private final Map<String, Integer> formerUnits = new HashMap<>();

  private final Map<String, Integer> runningUnits = new HashMap<>();
  private MemberDecisions decisions;

  MemberGate(Membership membership, MonotonicClock clock, CoreLoop core) {
    this.membership = membership;
    this.clock = clock;
    this.core = core;
    this.decisions = membership.current().decisions();
  }

  /** Reads the clock under the lock, so that the decisions never see time go backwards. */
  @Override
  public synchronized Optional<Refusal> checkAuthority() {
    return membership.current().decisions().checkAuthority(clock.nowMs());
  }

  @Override
  public synchronized boolean tryAcquire(String team) {
    switchToCurrentIncarnation();
    Optional<Refusal> refusal = decisions.tryAcquire(team, clock.nowMs());
    if (refusal.isEmpty()) {
      runningUnits.merge(team, 1, Integer::sum);
      return true;
    }
    if (refusal.get().code().outcome() != Outcome.BREACH) {
      core.execute(() -> membership.current().onShortage(team));
    }
    return false;
  }

  /**
   * Releases units of former incarnations first, so that the current one never frees more units
   * than it has acquired.
   */
  @Override
  public synchronized void release(String team) {
    switchToCurrentIncarnation();
    int former = formerUnits.getOrDefault(team, 0);
    if (former > 0) {
      formerUnits.put(team, former - 1);
    } else {
      runningUnits.merge(team, -1, Integer::sum);
      decisions.release(team);
    }
  }

  private void switchToCurrentIncarnation() {
    MemberDecisions current = membership.current().decisions();
    if (current != decisions) {
      runningUnits.forEach((team, units) -> formerUnits.merge(team, units, Integer::sum));
      runningUnits.clear();
      decisions = current;
    }
  }
}
