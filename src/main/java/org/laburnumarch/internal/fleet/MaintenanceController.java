package org.laburnumarch.internal.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.InstanceEntry;
import org.laburnumarch.internal.state.RecordBody.MaintenanceStarted;
import org.laburnumarch.spi.PoolControl;

/**
 * Maintains every instance once per interval.
 *
 * <p>The log records that an instance is in maintenance, that its maintenance failed, or when it
 * ended. Everything else is determined again from the status that the platform reports.
 */
final class MaintenanceController {
  private static final String SUBJECT = "maintenance";
  private static final long PLAN_INTERVAL_MS = 1_000;
  private static final long RETRY_MS = 5_000;

  private final MaintenancePlanner planner = new MaintenancePlanner();
  private final Map<String, MaintenanceRun> runs = new HashMap<>();
  private final Map<String, Long> retryAtMsByInstance = new HashMap<>();
  private long nextPlanAtMs;
  private Object lastInstances;
  private List<InstanceEntry> unavailable = List.of();

  List<FleetAction> onTick(
      ControlState state,
      Set<String> lost,
      boolean isCapacityShort,
      String memberId,
      long nowMs,
      long nowEpochMs) {
    List<FleetAction> due = new ArrayList<>();
    advance(state, memberId, nowMs, due);
    if (!isCapacityShort
        && nowMs >= nextPlanAtMs
        && Proposers.isProposer(state, memberId, SUBJECT)) {
      nextPlanAtMs = nowMs + PLAN_INTERVAL_MS;
      retryAtMsByInstance.values().removeIf(retryAtMs -> nowMs >= retryAtMs);
      for (String instance : planner.plan(state, lost, nowEpochMs)) {
        if (retryAtMsByInstance.putIfAbsent(instance, nowMs + RETRY_MS) == null) {
          due.add(new FleetAction.Append(new MaintenanceStarted(instance)));
        }
      }
    }
    return due;
  }

  private void advance(ControlState state, String memberId, long nowMs, List<FleetAction> due) {
    if (lastInstances != state.instances()) {
      lastInstances = state.instances();
      unavailable = state.instances().values().filter(i -> !i.health().isAvailable()).toJavaList();
      Set<String> names = new HashSet<>();
      unavailable.forEach(instance -> names.add(instance.instance()));
      runs.keySet().retainAll(names);
    }
    for (InstanceEntry instance : unavailable) {
      if (Proposers.isProposer(state, memberId, instance.instance())) {
        due.addAll(
            runs.computeIfAbsent(instance.instance(), name -> new MaintenanceRun(name, nowMs))
                .onTick(instance.health(), nowMs));
      } else {
        runs.remove(instance.instance());
      }
    }
  }

  List<FleetAction> onStatus(
      ControlState state,
      String instance,
      PoolControl.Status status,
      boolean isListedLive,
      long nowMs) {
    MaintenanceRun run = runs.get(instance);
    InstanceEntry entry = state.instances().getOrElse(instance, null);
    if (run == null || entry == null || entry.health().isAvailable()) {
      return List.of();
    }
    return run.onStatus(status, entry.health(), isListedLive, nowMs);
  }
}
