package org.laburnumarch.internal.schedule;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import org.laburnumarch.internal.schedule.CandidateRanking.Candidate;

/**
 * Starts the candidates of all pools in the order of their urgency, and keeps the order of the
 * candidates within each pool. Load: a budget that does not suffice for all pools must go to the
 * most urgent starts of all, not to the first pool.
 */
final class StartSequence {

  private record PoolCandidates(StartRound round, List<Worker> pool, Deque<Candidate> waiting) {}

  private final PriorityQueue<PoolCandidates> pools =
      new PriorityQueue<>(
          Comparator.comparing(
              candidates -> candidates.waiting().getFirst(), CandidateRanking.BY_URGENCY));

  /** Adds a pool with its ranked candidates, of which there is at least one. */
  void add(StartRound round, List<Worker> pool, List<Candidate> candidates) {
    pools.add(new PoolCandidates(round, pool, new ArrayDeque<>(candidates)));
  }

  /** Starts candidates until none is left or the budget is used up. */
  void run(StartBudget budget) {
    while (!pools.isEmpty() && !budget.isHeld()) {
      PoolCandidates next = pools.remove();
      next.round().startCandidate(next.waiting().removeFirst(), next.pool());
      if (!next.waiting().isEmpty()) {
        pools.add(next);
      }
    }
    for (PoolCandidates left : pools) {
      left.waiting().forEach(candidate -> candidate.step().lastRefusal = WaitReason.START_BUDGET);
    }
  }
}
