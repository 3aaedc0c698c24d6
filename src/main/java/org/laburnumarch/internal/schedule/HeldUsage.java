package org.laburnumarch.internal.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;

/**
 * The most that each team may have running in tasks that are held after a takeover. All of them
 * together run only on workers that have not reported, which hold no more than their capacity.
 */
final class HeldUsage {

  private final Map<String, Resources> reserved = new HashMap<>();

  /** What fillers use beyond what they reserve, which no capacity limits. */
  private final Map<String, Resources> unreserved = new HashMap<>();

  void add(String team, StepSpec step) {
    reserved.merge(team, step.reserved(), Resources::plus);
    unreserved.merge(team, step.need().minus(step.reserved()), Resources::plus);
  }

  boolean isEmpty() {
    return reserved.isEmpty();
  }

  /** Returns the usage of each team that has held tasks. */
  Map<String, Resources> byTeam(Collection<Worker> unreported) {
    Resources capacity =
        unreported.stream()
            .map(worker -> worker.listing.capacity())
            .reduce(Resources.NONE, Resources::plus);
    Map<String, Resources> used = new HashMap<>();
    reserved.forEach(
        (team, amount) -> used.put(team, least(amount, capacity).plus(unreserved.get(team))));
    return used;
  }

  private static Resources least(Resources a, Resources b) {
    return new Resources(
        Math.min(a.cpuMillis(), b.cpuMillis()),
        Math.min(a.memoryMb(), b.memoryMb()),
        Math.min(a.gpus(), b.gpus()));
  }
}
