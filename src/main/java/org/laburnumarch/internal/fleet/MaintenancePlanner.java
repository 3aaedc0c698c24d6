package org.laburnumarch.internal.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.DataCentreEntry;
import org.laburnumarch.internal.state.InstanceEntry;
import org.laburnumarch.internal.state.InstanceHealth;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.ServiceSpec;

/**
 * Selects the instances whose maintenance starts next.
 *
 * <p>Racks become due one after another. If several are due, a wave includes as many of their
 * instances as the availability budgets allow, but of one data centre only, so that a failure
 * during the wave affects at most one failure domain besides the one in maintenance.
 */
public final class MaintenancePlanner {

  /**
   * Failed reboots in this number of racks indicate a fault that affects every reboot; maintenance
   * then stops.
   */
  static final int MAX_FAILED_RACKS = 2;

  private record Due(InstanceEntry instance, int colour, long slotEpochMs, boolean isOverdue) {}

  /**
   * Returns the instances to start now.
   *
   * @param lost instances that count as lost although the state still contains them
   * @param nowEpochMs wall clock, which determines which instances are due
   */
  public List<String> plan(ControlState state, Set<String> lost, long nowEpochMs) {
    FleetText text = state.text().orElse(null);
    if (text == null
        || !text.maintenance().isEnabled()
        || state.dataCentres().values().exists(DataCentreEntry::isOut)) {
      return List.of();
    }
    Set<String> failedRacks = racksOf(state, InstanceHealth.FAILED);
    if (failedRacks.size() >= MAX_FAILED_RACKS) {
      return List.of();
    }
    DependencyColouring colours = new DependencyColouring(text);
    List<Due> due = new ArrayList<>();
    MaintenanceSlots slots = new MaintenanceSlots(text.maintenance().intervalDays());
    for (InstanceEntry instance : state.instances().values()) {
      if (instance.health().isAvailable()
          && !lost.contains(instance.instance())
          && !failedRacks.contains(rackOf(instance))
          && slots.isDue(rackOf(instance), instance.maintainedAtEpochMs(), nowEpochMs)) {
        due.add(
            new Due(
                instance,
                colours.colour(instance.pool()),
                slots.startedAtEpochMs(rackOf(instance), nowEpochMs),
                slots.isOverdue(instance.maintainedAtEpochMs(), nowEpochMs)));
      }
    }
    return due.isEmpty() ? List.of() : new Wave(state, text, lost, colours).choose(due);
  }

  private static Set<String> racksOf(ControlState state, InstanceHealth health) {
    Set<String> racks = new HashSet<>();
    for (InstanceEntry instance : state.instances().values()) {
      if (instance.health() == health) {
        racks.add(rackOf(instance));
      }
    }
    return racks;
  }

  private static String rackOf(InstanceEntry instance) {
    return instance.rack().isEmpty() ? instance.instance() : instance.rack();
  }

  /** Adds instances to the current wave as long as the availability budgets hold. */
  private static final class Wave {
    private final DependencyColouring colours;
    private final Map<String, Integer> available = new HashMap<>();

    /** By pool: the instances that the budget requires, and those that the ordinary load needs. */
    private final Map<String, int[]> minimums = new HashMap<>();

    private final Set<String> reducedPools = new HashSet<>();
    private String dataCentre;

    Wave(ControlState state, FleetText text, Set<String> lost, DependencyColouring colours) {
      this.colours = colours;
      for (ServiceSpec service : text.services().values()) {
        int[] minimum = minimums.computeIfAbsent(service.pool(), pool -> new int[2]);
        minimum[0] = Math.max(minimum[0], service.minAvailableCount());
        minimum[1] += service.neededCount();
      }
      for (InstanceEntry instance : state.instances().values()) {
        if (instance.health() == InstanceHealth.IN_MAINTENANCE) {
          dataCentre = instance.dataCentre();
        }
        if (!instance.health().isAvailable()) {
          reducedPools.add(instance.pool());
        } else if (!lost.contains(instance.instance())) {
          available.merge(instance.pool(), 1, Integer::sum);
        }
      }
    }

    List<String> choose(List<Due> due) {
      due.sort(Comparator.comparingLong(Due::slotEpochMs));
      String waveDataCentre = dataCentre == null ? due.get(0).instance().dataCentre() : dataCentre;
      due.removeIf(candidate -> !candidate.instance().dataCentre().equals(waveDataCentre));
      due.sort(Comparator.comparingInt(Due::colour).thenComparingLong(Due::slotEpochMs));
      List<String> chosen = new ArrayList<>();
      for (Due candidate : due) {
        String pool = candidate.instance().pool();
        int[] minimum = minimums.getOrDefault(pool, new int[2]);
        int minimumCount = candidate.isOverdue() ? minimum[0] : Math.max(minimum[0], minimum[1]);
        boolean isNeighbourReduced =
            colours.neighbours(pool).stream().anyMatch(reducedPools::contains);
        if (!isNeighbourReduced && available.get(pool) > minimumCount) {
          available.merge(pool, -1, Integer::sum);
          reducedPools.add(pool);
          chosen.add(candidate.instance().instance());
        }
      }
      return chosen;
    }
  }
}
