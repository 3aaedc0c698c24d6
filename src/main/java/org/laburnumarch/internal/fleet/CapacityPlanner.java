package org.laburnumarch.internal.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.RecordBody.InstanceMoved;
import org.laburnumarch.internal.text.FleetText;

/**
 * Plans moves between pools. A greedy search: each step takes the move that leaves the smallest
 * {@link Shortfall} among the candidates compared.
 *
 * <p>The plan depends only on the control state. If a daemon stops after any of the moves, another
 * daemon plans the remaining ones from the state that results. An instance that is not needed
 * elsewhere stays in its pool.
 */
public final class CapacityPlanner {

  /**
   * Receiving pools per batch of candidates; comparing all pools of a large fleet takes too long.
   */
  private static final int RECEIVERS_PER_BATCH = 8;

  /** Donor groups per batch of candidates; more than present fleets have. */
  private static final int GROUPS_PER_BATCH = 64;

  /** Limits a search without success, so that it does not block the daemon for long. */
  private static final int MAX_CANDIDATES = 8_192;

  /** A possible move and the shortfall after it. */
  private record Candidate(
      CapacityInstance instance, PoolCapacity from, PoolCapacity to, Shortfall after) {}

  /**
   * Returns the next moves. Either all of them are urgent or none is.
   *
   * @param lost instances that count as lost although the state still contains them
   * @param maxUrgentMoves maximum number of moves if they are urgent
   * @param maxNonUrgentMoves maximum number of moves if they are not urgent
   */
  public CapacityPlan plan(
      ControlState state, Set<String> lost, int maxUrgentMoves, int maxNonUrgentMoves) {
    FleetText text = state.text().orElse(null);
    if (text == null) {
      Shortfall none = new Shortfall(new int[CapacityLevel.values().length]);
      return new CapacityPlan(List.of(), none, none, false);
    }
    FleetCapacity fleet = new FleetCapacity(state, text, lost);
    FleetCapacity.Totals totals = fleet.totals();
    Shortfall before = totals.shortfall();
    Shortfall current = before;
    List<InstanceMoved> moves = new ArrayList<>();
    boolean isUrgent = false;
    while (moves.size() < (isUrgent ? maxUrgentMoves : maxNonUrgentMoves)) {
      Optional<Candidate> best = best(fleet, totals, current);
      if (best.isEmpty()) {
        break;
      }
      Candidate move = best.get();
      boolean isMoveUrgent = isUrgentStep(current, move.after());
      if (moves.isEmpty()) {
        isUrgent = isMoveUrgent;
      } else if (isUrgent != isMoveUrgent) {
        break;
      }
      apply(fleet, totals, move);
      moves.add(
          new InstanceMoved(move.instance().instance(), move.from().pool(), move.to().pool()));
      current = move.after();
    }
    return new CapacityPlan(moves, before, current, isUrgent);
  }

  private static boolean isUrgentStep(Shortfall before, Shortfall after) {
    for (CapacityLevel level : CapacityLevel.values()) {
      if (after.count(level) != before.count(level)) {
        return level.isUrgent();
      }
    }
    return false;
  }

  private static Optional<Candidate> best(
      FleetCapacity fleet, FleetCapacity.Totals totals, Shortfall current) {
    List<FleetCapacity.Group> donors = null;
    for (CapacityLevel level : CapacityLevel.values()) {
      if (current.count(level) == 0) {
        continue;
      }
      donors = donors == null ? donorGroups(fleet) : donors;
      Optional<Candidate> best = bestAt(level, donors, fleet, totals, current);
      if (best.isPresent()) {
        return best;
      }
    }
    return Optional.empty();
  }

  /** Returns the groups that can give up an instance: the spare pool first, then by surplus. */
  private static List<FleetCapacity.Group> donorGroups(FleetCapacity fleet) {
    List<FleetCapacity.Group> donors = fleet.donorGroups();
    donors.sort(
        Comparator.<FleetCapacity.Group>comparingInt(
                group -> group.pool() == fleet.sparePool() ? 0 : 1)
            .thenComparingInt(group -> -group.pool().surplusCount()));
    return donors;
  }

  private static Optional<Candidate> bestAt(
      CapacityLevel level,
      List<FleetCapacity.Group> allDonors,
      FleetCapacity fleet,
      FleetCapacity.Totals totals,
      Shortfall current) {
    // Taking an instance from a pool without surplus only moves the shortage to that pool, which is
    // worthwhile only to restore a violated availability budget.
    List<FleetCapacity.Group> donors =
        level == CapacityLevel.BUDGET
            ? allDonors
            : allDonors.stream().filter(group -> group.pool().surplusCount() > 0).toList();
    List<PoolCapacity> receivers = receivers(fleet, level);
    int candidateCount = 0;
    for (int to = 0; to < receivers.size(); to += RECEIVERS_PER_BATCH) {
      List<PoolCapacity> compared =
          receivers.subList(to, Math.min(to + RECEIVERS_PER_BATCH, receivers.size()));
      for (int from = 0; from < donors.size(); from += GROUPS_PER_BATCH) {
        List<FleetCapacity.Group> groups =
            donors.subList(from, Math.min(from + GROUPS_PER_BATCH, donors.size()));
        Optional<Candidate> best = bestMove(compared, groups, fleet, totals, current);
        candidateCount += compared.size() * groups.size();
        if (best.isPresent() || candidateCount >= MAX_CANDIDATES) {
          return best;
        }
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the pools that are short at a level, the largest shortage first. The spare pool comes
   * first at {@link CapacityLevel#SHARED_BUFFER}, since it holds that buffer.
   */
  private static List<PoolCapacity> receivers(FleetCapacity fleet, CapacityLevel level) {
    List<PoolCapacity> receivers = new ArrayList<>();
    for (PoolCapacity pool : fleet.pools()) {
      if (fleet.shortCount(pool, level) > 0) {
        receivers.add(pool);
      }
    }
    receivers.sort(
        Comparator.<PoolCapacity>comparingInt(pool -> -fleet.shortCount(pool, level))
            .thenComparingInt(pool -> -pool.neededCount()));
    if (level == CapacityLevel.SHARED_BUFFER) {
      receivers.remove(fleet.sparePool());
      receivers.add(0, fleet.sparePool());
    }
    return receivers;
  }

  private static Optional<Candidate> bestMove(
      List<PoolCapacity> receivers,
      List<FleetCapacity.Group> donors,
      FleetCapacity fleet,
      FleetCapacity.Totals totals,
      Shortfall current) {
    Candidate best = null;
    for (PoolCapacity receiver : receivers) {
      for (FleetCapacity.Group group : donors) {
        if (group.pool() != receiver) {
          Candidate candidate = evaluate(group, receiver, totals);
          if (candidate.after().compareTo(current) < 0
              && (best == null || isBetter(candidate, best, fleet.sparePool()))) {
            best = candidate;
          }
        }
      }
    }
    return Optional.ofNullable(best);
  }

  private static Candidate evaluate(
      FleetCapacity.Group group, PoolCapacity receiver, FleetCapacity.Totals totals) {
    PoolCapacity donor = group.pool();
    CapacityInstance instance = group.instances().get(0);
    shift(totals, instance, donor, receiver);
    Shortfall after = totals.shortfall();
    shift(totals, instance, receiver, donor);
    return new Candidate(instance, donor, receiver, after);
  }

  private static void shift(
      FleetCapacity.Totals totals, CapacityInstance instance, PoolCapacity from, PoolCapacity to) {
    totals.add(from, -1);
    totals.add(to, -1);
    from.add(instance, -1);
    to.add(instance, 1);
    totals.add(from, 1);
    totals.add(to, 1);
  }

  private static boolean isBetter(Candidate candidate, Candidate best, PoolCapacity sparePool) {
    int order = candidate.after().compareTo(best.after());
    if (order != 0) {
      return order < 0;
    }
    if (candidate.from() == sparePool || best.from() == sparePool) {
      return best.from() != sparePool;
    }
    return candidate.from().surplusCount() > best.from().surplusCount();
  }

  private static void apply(FleetCapacity fleet, FleetCapacity.Totals totals, Candidate move) {
    totals.add(move.from(), -1);
    totals.add(move.to(), -1);
    fleet.move(move.instance(), move.from(), move.to());
    totals.add(move.from(), 1);
    totals.add(move.to(), 1);
  }
}
