package org.laburnumarch.internal.share;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * Divides one pool between teams by weight, for demand of several times what the pool holds and for
 * teams that send many times their share. Use counts by the scarcest resource (dominant-resource
 * fairness) and over time (virtual times, as in stride scheduling). It only orders work, so no
 * capacity is left idle.
 */
public final class PoolShares {

  /**
   * Time for which the present use counts in advance. It makes tasks count as soon as they start,
   * so that one team does not take all the free capacity of a round.
   */
  private static final double LOOKAHEAD_MS = 1_000;

  /** Largest debt of a team towards another, in time of its own share. */
  static final double MAX_DEBT_MS = 10_000;

  /**
   * Debt up to which agreed work goes in the usual order. Work beyond it goes after other agreed
   * work: the agreement counts jobs, and a team may send very large ones.
   */
  public static final double MAX_AGREED_DEBT_MS = 2_000;

  /** Longest time for which the state of the last update counts; rounds are at most 50 ms apart. */
  private static final long MAX_CHARGED_MS = 200;

  /** The waiting work of one team in one urgency class, with its position in the usual order. */
  private final class TeamLine<T> {
    private final String team;
    private final Deque<Integer> agreed = new ArrayDeque<>();
    private final Deque<Integer> beyond = new ArrayDeque<>();
    private final List<WaitingWork<T>> all;
    private double rankMs;

    TeamLine(String team, List<WaitingWork<T>> all) {
      this.team = team;
      this.all = all;
    }

    void add(int position) {
      (all.get(position).isAgreed() ? agreed : beyond).addLast(position);
    }

    boolean isEmpty() {
      return agreed.isEmpty() && beyond.isEmpty();
    }

    boolean isAgreed() {
      return !agreed.isEmpty();
    }

    int position() {
      return isAgreed() ? agreed.peekFirst() : beyond.peekFirst();
    }

    WaitingWork<T> remove() {
      return all.get(isAgreed() ? agreed.removeFirst() : beyond.removeFirst());
    }

    /** Computes anew where the line stands, after a change of what its team uses. */
    void updateRank() {
      rankMs = isAgreed() ? excessMs(team) : nextVirtualMs(team);
    }
  }

  /** Order of the lines of one urgency class; ranks must not change while a line is queued. */
  private static final Comparator<TeamLine<?>> BY_RANK =
      Comparator.<TeamLine<?>, Boolean>comparing(line -> !line.isAgreed())
          .thenComparingDouble(line -> line.rankMs)
          .thenComparingInt(line -> line.position());

  private final TeamVirtualTimes virtualTimes = new TeamVirtualTimes();
  private final Map<String, Double> usedFractions = new HashMap<>();

  /** What has been ordered since the last update and may start. */
  private final Map<String, Double> plannedFractions = new HashMap<>();

  /** Since when the oldest waiting work of each team waits. */
  private final Map<String, Long> waitingSinceMs = new HashMap<>();

  private TeamWeights weights = TeamWeights.NONE;
  private boolean isFull;
  private double leastNextMs;
  private long updatedAtMs = Long.MIN_VALUE;

  /**
   * Charges teams for what they have used since the last call, and records the present state.
   *
   * @param used the part of the pool that each team uses, by the scarcest resource
   * @param waitingTeams the teams with work that waits
   * @param isPoolFull whether not all of that work has room
   */
  public void update(
      TeamWeights newWeights,
      Map<String, Double> used,
      Collection<String> waitingTeams,
      boolean isPoolFull,
      long nowMs) {
    if (updatedAtMs != Long.MIN_VALUE) {
      long elapsedMs = Math.max(0, nowMs - updatedAtMs);
      long chargedMs = isFull ? Math.min(elapsedMs, MAX_CHARGED_MS) : 0;
      usedFractions.forEach(
          (team, fraction) ->
              virtualTimes.charge(team, fraction * chargedMs, weights.shareFraction(team)));
      virtualTimes.forgive((double) (elapsedMs - chargedMs));
    }
    weights = newWeights;
    usedFractions.clear();
    usedFractions.putAll(used);
    plannedFractions.clear();
    waitingSinceMs.clear();
    virtualTimes.update(waitingTeams);
    virtualTimes.limitSpread(MAX_DEBT_MS);
    isFull = isPoolFull;
    updatedAtMs = nowMs;
    leastNextMs = waitingTeams.stream().mapToDouble(this::nextVirtualMs).min().orElse(0);
  }

  private double nextVirtualMs(String team) {
    double fraction =
        usedFractions.getOrDefault(team, 0.0) + plannedFractions.getOrDefault(team, 0.0);
    return virtualTimes.of(team)
        + TeamVirtualTimes.stretched(LOOKAHEAD_MS * fraction, weights.shareFraction(team));
  }

  private double excessMs(String team) {
    return Math.max(0, nextVirtualMs(team) - leastNextMs - MAX_AGREED_DEBT_MS);
  }

  /**
   * Orders waiting work between teams and counts it as used, as if all of it started. Within an
   * urgency class, agreed work goes before other work; agreed work keeps its usual order unless its
   * team is far beyond its share, and other work goes by the teams' use against their weights. The
   * work of one team keeps its order in both parts.
   *
   * @param usual the work in its usual order, by urgency class first
   */
  public <T> List<T> order(List<WaitingWork<T>> usual) {
    List<T> ordered = new ArrayList<>(usual.size());
    int from = 0;
    while (from < usual.size()) {
      Map<String, TeamLine<T>> lines = new LinkedHashMap<>();
      int to = from;
      while (to < usual.size() && usual.get(to).urgencyClass() == usual.get(from).urgencyClass()) {
        String team = usual.get(to).team();
        waitingSinceMs.merge(team, usual.get(to).sinceMs(), Math::min);
        lines.computeIfAbsent(team, name -> new TeamLine<>(name, usual)).add(to);
        to++;
      }
      orderClass(lines.values(), ordered);
      from = to;
    }
    return ordered;
  }

  private <T> void orderClass(Collection<TeamLine<T>> lines, List<T> ordered) {
    Queue<TeamLine<T>> queue = new PriorityQueue<>(lines.size(), BY_RANK);
    for (TeamLine<T> line : lines) {
      line.updateRank();
      queue.add(line);
    }
    while (!queue.isEmpty()) {
      TeamLine<T> first = queue.remove();
      WaitingWork<T> next = first.remove();
      ordered.add(next.work());
      plannedFractions.merge(next.team(), next.poolFraction(), Double::sum);
      if (!first.isEmpty()) {
        first.updateRank();
        queue.add(first);
      }
    }
  }

  /** Returns whether not all waiting work had room at the last update. */
  public boolean isFull(long nowMs) {
    return isFull && nowMs - updatedAtMs <= MAX_CHARGED_MS;
  }

  /** Returns the part of the pool that each team used at the last update. */
  public Map<String, Double> usedFractions() {
    return Map.copyOf(usedFractions);
  }

  /** Returns each team's debt: use beyond its share, in time of that share. */
  public Map<String, Double> debts() {
    return virtualTimes.debts();
  }

  /** Returns since when the oldest work of each team waits, while the pool is full. */
  public Map<String, Long> waitingSinceMs() {
    return Map.copyOf(waitingSinceMs);
  }

  void restore(Map<String, Double> debts, long ageMs) {
    virtualTimes.restore(debts);
    virtualTimes.forgive((double) ageMs);
  }
}
