package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.schedule.CandidateRanking.Candidate;
import org.laburnumarch.internal.schedule.CandidateRanking.Rank;
import org.laburnumarch.internal.share.PoolShares;
import org.laburnumarch.internal.share.TeamShares;
import org.laburnumarch.internal.share.WaitingWork;

/**
 * Orders the candidates of a pool between teams while not all of them have room. Long-running tasks
 * are left out: they always go first, and shares divide what they leave.
 */
final class ShareOrder {

  private final TeamShares shares;

  ShareOrder(TeamShares shares) {
    this.shares = shares;
  }

  /**
   * Returns the candidates in the order in which they are given workers.
   *
   * @param sorted the candidates in order of urgency
   */
  List<Candidate> order(
      String service, List<Candidate> sorted, Collection<Worker> pool, long nowMs) {
    if (!shares.weights().isPresent()) {
      return sorted;
    }
    Resources capacity = Resources.NONE;
    Resources free = Resources.NONE;
    Map<String, Resources> usedByTeam = new HashMap<>();
    for (Worker worker : pool) {
      capacity = capacity.plus(worker.listing.capacity());
      free = worker.acceptsTasks() ? free.plus(worker.freeCapacity()) : free;
      for (Attempt attempt : worker.attempts.values()) {
        Step step = attempt.task.step;
        if (!step.spec.isLongRunning()) {
          usedByTeam.merge(step.job.spec.team(), attempt.reserved, Resources::plus);
        }
      }
    }
    Resources needed = Resources.NONE;
    Set<String> waitingTeams = new HashSet<>();
    List<Resources> needs = new ArrayList<>(sorted.size());
    for (Candidate candidate : sorted) {
      Resources need = startableNeed(candidate.step(), nowMs);
      needs.add(need);
      needed = needed.plus(need);
      if (candidate.rank() != Rank.LONG_RUNNING) {
        waitingTeams.add(candidate.step().job.spec.team());
      }
    }
    Map<String, Double> used = new HashMap<>();
    for (Map.Entry<String, Resources> entry : usedByTeam.entrySet()) {
      used.put(entry.getKey(), fraction(entry.getValue(), capacity));
    }
    boolean isFull = !free.holds(needed);
    PoolShares poolShares = shares.pool(service);
    poolShares.update(shares.weights(), used, waitingTeams, isFull, nowMs);
    return isFull ? orderByShares(sorted, needs, capacity, poolShares, nowMs) : sorted;
  }

  private List<Candidate> orderByShares(
      List<Candidate> sorted,
      List<Resources> needs,
      Resources capacity,
      PoolShares poolShares,
      long nowMs) {
    List<Candidate> ordered = new ArrayList<>(sorted.size());
    List<WaitingWork<Candidate>> waiting = new ArrayList<>(sorted.size());
    // Late jobs of all teams are finished in the usual order, those that have begun first: dividing
    // the pool between more of them at a time makes each of them later.
    List<Candidate> late = new ArrayList<>();
    for (int i = 0; i < sorted.size(); i++) {
      Candidate candidate = sorted.get(i);
      if (candidate.rank() == Rank.LONG_RUNNING) {
        ordered.add(candidate);
        continue;
      }
      if (candidate.rank() == Rank.LATE) {
        late.add(candidate);
        continue;
      }
      Job job = candidate.step().job;
      if (!job.isAgreed) {
        job.isAgreed = shares.tryTakeCredit(job.spec.team(), nowMs);
      }
      waiting.add(
          new WaitingWork<>(
              candidate,
              job.spec.team(),
              candidate.queue().priority(),
              job.isAgreed,
              fraction(needs.get(i), capacity),
              job.submittedAtMs));
    }
    ordered.addAll(poolShares.order(waiting));
    ordered.addAll(late);
    return ordered;
  }

  private static Resources startableNeed(Step step, long nowMs) {
    int count = 0;
    for (Task task : step.tasks) {
      count += task.isStartable(nowMs) ? 1 : 0;
    }
    return step.spec.reserved().times(count);
  }

  /** Returns the fraction of a pool that an amount takes, by the scarcest resource. */
  private static double fraction(Resources amount, Resources capacity) {
    double gpus = (double) amount.gpus() / Math.max(1, capacity.gpus());
    return Math.max(DemandEstimator.fractionOfWorker(amount, capacity), gpus);
  }
}
