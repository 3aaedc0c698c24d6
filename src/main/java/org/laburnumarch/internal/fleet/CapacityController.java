package org.laburnumarch.internal.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.DataCentreEntry;
import org.laburnumarch.internal.state.RecordBody.InstanceMoved;

/** Decides when to propose planned moves. */
final class CapacityController {

  /** Moves wait until no instance was added or lost for this time, unless a data centre is out. */
  static final long SETTLE_MS = 10_000;

  /** Interval between two batches of moves that are not urgent. */
  static final long NON_URGENT_INTERVAL_MS = 1_000;

  /**
   * Maximum number of moves in a batch that is not urgent, so that few instances change pools at a
   * time.
   */
  static final int MAX_NON_URGENT_MOVES = 2;

  /**
   * Maximum number of urgent moves in a batch; less than the several hundred appends per second
   * that the log accepts.
   */
  static final int MAX_URGENT_MOVES = 64;

  private static final String SUBJECT = "capacity";
  private static final long RETRY_MS = 5_000;

  /**
   * The parts of the state that a plan was made from. They are immutable and compared by identity.
   */
  private record Inputs(Object text, Object dataCentres, Object instances, Set<String> lost) {
    boolean isSame(Inputs other) {
      return text == other.text
          && dataCentres == other.dataCentres
          && instances == other.instances
          && lost.equals(other.lost);
    }
  }

  private final CapacityPlanner planner = new CapacityPlanner();
  private final Map<String, InstanceMoved> proposed = new HashMap<>();
  private long retryAtMs;
  private long nextNonUrgentAtMs;
  private long settledAtMs;
  private Set<String> presentInstances = Set.of();
  private Set<String> lastLost = Set.of();
  private Inputs inputs;
  private CapacityPlan plan;

  /** Returns whether a capacity shortfall affected work at the last tick. */
  boolean isShort() {
    return plan != null && plan.before().isUrgent();
  }

  List<InstanceMoved> onTick(ControlState state, Set<String> lost, String memberId, long nowMs) {
    restartSettlingOnChange(state, lost, nowMs);
    replan(state, lost);
    if (plan.moves().isEmpty()
        || isProposalPending(state, nowMs)
        || !Proposers.isProposer(state, memberId, SUBJECT)) {
      return List.of();
    }
    boolean isDataCentreOut = state.dataCentres().values().exists(DataCentreEntry::isOut);
    if (!isDataCentreOut && nowMs < settledAtMs) {
      return List.of();
    }
    if (!plan.isUrgent() && nowMs < nextNonUrgentAtMs) {
      return List.of();
    }
    List<InstanceMoved> moves = plan.moves();
    proposed.clear();
    moves.forEach(move -> proposed.put(move.instance(), move));
    retryAtMs = nowMs + RETRY_MS;
    nextNonUrgentAtMs = nowMs + NON_URGENT_INTERVAL_MS;
    return moves;
  }

  private void restartSettlingOnChange(ControlState state, Set<String> lost, long nowMs) {
    if (inputs != null && inputs.instances() == state.instances() && lost.equals(lastLost)) {
      return;
    }
    Set<String> present = state.instances().keySet().toJavaSet();
    if (!present.equals(presentInstances) || !lost.equals(lastLost)) {
      presentInstances = present;
      lastLost = Set.copyOf(lost);
      settledAtMs = nowMs + SETTLE_MS;
    }
  }

  private void replan(ControlState state, Set<String> lost) {
    Inputs now =
        new Inputs(state.text().orElse(null), state.dataCentres(), state.instances(), lost);
    if (inputs == null || !inputs.isSame(now)) {
      inputs = now;
      plan = planner.plan(state, lost, MAX_URGENT_MOVES, MAX_NON_URGENT_MOVES);
    }
  }

  /**
   * Returns whether proposed moves are not yet in the state. They must not be proposed again before
   * the retry time.
   */
  private boolean isProposalPending(ControlState state, long nowMs) {
    proposed
        .values()
        .removeIf(
            move ->
                !state
                    .instances()
                    .get(move.instance())
                    .exists(entry -> Objects.equals(entry.pool(), move.fromPool())));
    return !proposed.isEmpty() && nowMs < retryAtMs;
  }
}
