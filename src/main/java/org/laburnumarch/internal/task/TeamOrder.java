package org.laburnumarch.internal.task;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.laburnumarch.internal.share.TeamVirtualTimes;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.TaskEntry;
import org.laburnumarch.internal.text.TeamSpec;

/** Orders teams for placement: urgent teams within their share first, then by virtual time. */
final class TeamOrder {

  private final TeamVirtualTimes virtualTimes = new TeamVirtualTimes();
  private final Map<String, Integer> usedUnits = new HashMap<>();
  private ControlState state = ControlState.empty();
  private int totalUnits;
  private long chargedAtMs = Long.MIN_VALUE;

  /**
   * Recomputes the used units and charges teams for the time that their tasks have run on this
   * daemon's workers since the last call.
   */
  void update(TaskIndex index, WorkerViews views, long nowMs) {
    state = index.state();
    usedUnits.clear();
    totalUnits = 0;
    for (WorkerView view : views.all()) {
      index.startedOn(view.worker).forEach(task -> addUsage(task));
    }
    if (chargedAtMs != Long.MIN_VALUE) {
      long elapsedMs = nowMs - chargedAtMs;
      usedUnits.forEach(
          (team, units) -> virtualTimes.charge(team, (double) units * elapsedMs, share(team)));
    }
    chargedAtMs = nowMs;
    virtualTimes.update(index.waiting.stream().map(task -> task.spec().team()).distinct().toList());
  }

  /** Counts the units of a started task as used. */
  void addUsage(TaskEntry task) {
    usedUnits.merge(task.spec().team(), task.spec().units(), Integer::sum);
    totalUnits += task.spec().units();
  }

  boolean isUrgent(String team) {
    return team(team) != null && team(team).isUrgent();
  }

  /** Returns whether a team is urgent and uses at most its share of the units in use here. */
  boolean hasPriority(String team) {
    return isUrgent(team) && usedUnits.getOrDefault(team, 0) <= share(team) * totalUnits;
  }

  Comparator<String> comparator() {
    return Comparator.comparing((String team) -> !hasPriority(team))
        .thenComparingDouble(this::nextVirtualMs)
        .thenComparing(Comparator.naturalOrder());
  }

  /**
   * Adds one second for the units in use, so that tasks count as soon as they are started and one
   * team does not take all the free capacity.
   */
  private double nextVirtualMs(String team) {
    return virtualTimes.of(team) + 1_000.0 * usedUnits.getOrDefault(team, 0) / share(team);
  }

  private double share(String team) {
    return team(team) == null ? 0.001 : Math.max(0.001, team(team).shareFraction());
  }

  private TeamSpec team(String team) {
    return state.text().map(text -> text.teams().getOrElse(team, null)).orElse(null);
  }
}
