package org.laburnumarch.internal.queue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * The bounded queue of requests to one pool at one daemon, with one queue per team.
 *
 * <p>Requests are dispatched by weighted fair queueing: next is the team that has used the least
 * slot time relative to its share. Slot time is charged as an estimate at dispatch and corrected
 * when the request ends. Only one thread may use a queue at a time.
 *
 * @param <T> type of the queued items
 */
public final class PoolQueue<T> {
  /**
   * How far an urgent team may exceed its share, in milliseconds per slot: 1% of a window of 10 s.
   */
  private static final long URGENT_LEAD_MS = 100;

  /**
   * Unused slot time, in milliseconds per slot, that a team keeps as credit while its queue is
   * empty. Without it, a team whose demand just equals its share would lose some at each gap
   * between two requests.
   */
  private static final long GAP_CREDIT_MS = 100;

  /**
   * Divisor of the estimated wait of a queued request before it is compared with the deadline, so
   * that the request is dropped only if it is clearly late.
   */
  private static final double DROP_TOLERANCE = 1.25;

  private final Map<String, TeamQueue<T>> teams = new TreeMap<>();
  private final WaitEstimate<T> estimate = new WaitEstimate<>(teams);
  private double virtualMs;
  private int slots;
  private int running;
  private int queuedCount;

  /** Sets the number of slots of the pool that this daemon may use now. */
  public void resize(int slotCount) {
    slots = slotCount;
    estimate.resize(slotCount);
  }

  /** Returns the number of requests that have been dispatched and have not ended. */
  public int running() {
    return running;
  }

  /** Returns the number of queued requests. */
  public int queued() {
    return queuedCount;
  }

  /** Returns whether any of this daemon's slots is idle. */
  public boolean hasIdleSlot() {
    return running < slots;
  }

  /**
   * Queues a request, or rejects it at once if its team's queue is full or its deadline cannot be
   * met.
   *
   * @param maxQueued maximum number of queued requests of the team
   */
  public Either<Refusal, QueuedRequest<T>> offer(
      T item, TeamWeight weight, int maxQueued, long deadlineMs, long nowMs) {
    TeamQueue<T> team = teams.computeIfAbsent(weight.team(), name -> new TeamQueue<>(weight));
    team.setWeight(weight);
    int ahead = team.queued.size();
    if (ahead == 0) {
      // Only a new attempt to dispatch shows whether the team is still at its upper limit.
      team.unblock();
    }
    double waitMs = hasIdleSlot() && !team.isBlocked() ? 0 : estimate.waitMs(team, ahead, nowMs);
    if (ahead >= maxQueued) {
      return Either.left(queueFull(team, waitMs));
    }
    if (nowMs + waitMs + estimate.slotMs(team) > deadlineMs) {
      return Either.left(unreachable(team, waitMs, deadlineMs - nowMs));
    }
    if (ahead == 0) {
      team.raiseVirtualTimeTo(virtualMs - (double) GAP_CREDIT_MS * slots);
    }
    QueuedRequest<T> request = new QueuedRequest<>(item, weight.team(), deadlineMs, nowMs);
    team.queued.addLast(request);
    adjustQueued(1, nowMs);
    return Either.right(request);
  }

  /**
   * Dispatches the next request and charges its team; empty if no team may run one.
   *
   * @param mayRun tries to acquire what the named team needs to run one request; a team for which
   *     it returns false is skipped
   */
  public Optional<QueuedRequest<T>> poll(Predicate<String> mayRun, long nowMs) {
    List<TeamQueue<T>> candidates = backloggedTeams();
    while (!candidates.isEmpty()) {
      TeamQueue<T> team = selectNext(candidates);
      if (mayRun.test(team.team())) {
        return Optional.of(take(team, candidates, nowMs));
      }
      team.block(nowMs);
      candidates.remove(team);
    }
    return Optional.empty();
  }

  /** Ends a dispatched request that occupied a slot for {@code slotMs} milliseconds. */
  public void finish(QueuedRequest<T> request, long slotMs) {
    TeamQueue<T> team = releaseSlot(request);
    team.charge((double) (slotMs - request.chargedMs()));
    estimate.record(team, slotMs);
  }

  /** Returns the mean slot time of a team's requests in milliseconds, at least 1. */
  public double expectedSlotMs(String team) {
    return estimate.slotMs(teams.get(team));
  }

  /** Reverts a dispatch that was not carried out, including its charge. */
  public void revertDispatch(QueuedRequest<T> request) {
    releaseSlot(request).charge((double) -request.chargedMs());
  }

  /** Puts a dispatched request that ended without a response back at the head of its queue. */
  public void requeue(QueuedRequest<T> request, long nowMs) {
    teams.get(request.team()).queued.addFirst(request);
    adjustQueued(1, nowMs);
  }

  /** Removes a queued request; returns whether it was queued. */
  public boolean remove(QueuedRequest<T> request) {
    boolean isRemoved = teams.get(request.team()).queued.remove(request);
    if (isRemoved) {
      adjustQueued(-1, Long.MAX_VALUE);
    }
    return isRemoved;
  }

  /** Removes and returns all queued requests. */
  public List<QueuedRequest<T>> removeAll() {
    List<QueuedRequest<T>> removed = new ArrayList<>();
    for (TeamQueue<T> team : teams.values()) {
      removed.addAll(team.queued);
      team.queued.clear();
    }
    adjustQueued(-removed.size(), Long.MAX_VALUE);
    return removed;
  }

  /**
   * Removes the queued requests whose deadline cannot be met, and returns each with its refusal.
   */
  public List<Dropped<T>> dropUnreachable(long nowMs) {
    List<Dropped<T>> dropped = new ArrayList<>();
    for (TeamQueue<T> team : teams.values()) {
      int ahead = 0;
      for (Iterator<QueuedRequest<T>> queue = team.queued.iterator(); queue.hasNext(); ) {
        QueuedRequest<T> request = queue.next();
        double waitMs = estimate.waitMs(team, ahead, nowMs);
        if (nowMs + waitMs / DROP_TOLERANCE + estimate.slotMs(team) <= request.deadlineMs()) {
          ahead++;
          continue;
        }
        queue.remove();
        adjustQueued(-1, nowMs);
        dropped.add(
            new Dropped<>(request, unreachable(team, waitMs, request.deadlineMs() - nowMs)));
      }
    }
    return dropped;
  }

  /**
   * A queued request that was removed because its deadline cannot be met, with the refusal to send.
   */
  public record Dropped<T>(QueuedRequest<T> request, Refusal refusal) {}

  private void adjustQueued(int change, long nowMs) {
    queuedCount += change;
    estimate.setBacklogged(queuedCount > 0, nowMs);
  }

  private List<TeamQueue<T>> backloggedTeams() {
    List<TeamQueue<T>> candidates = new ArrayList<>(teams.size());
    for (TeamQueue<T> team : teams.values()) {
      if (team.isBacklogged()) {
        candidates.add(team);
      }
    }
    return candidates;
  }

  private TeamQueue<T> selectNext(List<TeamQueue<T>> candidates) {
    TeamQueue<T> best = candidates.get(0);
    for (TeamQueue<T> team : candidates) {
      boolean isEarlier =
          team.weight().isBackground() == best.weight().isBackground()
              ? rank(team) < rank(best)
              : best.weight().isBackground();
      best = isEarlier ? team : best;
    }
    return best;
  }

  private double rank(TeamQueue<T> team) {
    return team.virtualMs() - (team.weight().isUrgent() ? (double) URGENT_LEAD_MS * slots : 0);
  }

  private QueuedRequest<T> take(TeamQueue<T> team, List<TeamQueue<T>> candidates, long nowMs) {
    if (!team.weight().isBackground()) {
      double lowestVirtualMs = team.virtualMs();
      for (TeamQueue<T> other : candidates) {
        lowestVirtualMs =
            other.weight().isBackground()
                ? lowestVirtualMs
                : Math.min(lowestVirtualMs, other.virtualMs());
      }
      virtualMs = Math.max(virtualMs, lowestVirtualMs);
    }
    if (team.isBlocked()) {
      // A team gets no credit for slot time that it could not use while it was at its upper limit.
      team.raiseVirtualTimeTo(virtualMs);
    }
    QueuedRequest<T> request = team.queued.removeFirst();
    estimate.recordDispatch(nowMs);
    adjustQueued(-1, nowMs);
    request.recordCharge(Math.round(estimate.slotMs(team)));
    team.charge((double) request.chargedMs());
    team.recordStart();
    running++;
    return request;
  }

  private TeamQueue<T> releaseSlot(QueuedRequest<T> request) {
    TeamQueue<T> team = teams.get(request.team());
    team.recordEnd();
    running--;
    return team;
  }

  private static <T> Refusal queueFull(TeamQueue<T> team, double waitMs) {
    return Refusal.retryable(
        ResultCode.QUEUE_FULL,
        "the queue of team " + team.team() + " is full; reduce the request rate or retry later",
        WaitEstimate.retryAfterMs(waitMs / 2));
  }

  private static <T> Refusal unreachable(TeamQueue<T> team, double waitMs, long remainingMs) {
    ResultCode code = team.isBlocked() ? ResultCode.LIMIT_REACHED : ResultCode.DEADLINE_UNREACHABLE;
    String cause =
        team.isBlocked()
            ? "team " + team.team() + " has reached its upper limit"
            : "the expected wait exceeds the deadline";
    return Refusal.retryable(
        code,
        cause + "; retry later or allow more time",
        WaitEstimate.retryAfterMs(waitMs - remainingMs));
  }
}
