package org.laburnumarch.internal.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.DataCentreEntry;
import org.laburnumarch.internal.state.InstanceEntry;
import org.laburnumarch.internal.state.InstanceHealth;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.ServiceSpec;

/** Mutable copy of the fleet for planning: pools, their instances and their shortages. */
final class FleetCapacity {

  /** Available instances of one pool in one rack, which are interchangeable for planning. */
  record Group(PoolCapacity pool, List<CapacityInstance> instances) {}

  private final Map<String, PoolCapacity> pools = new TreeMap<>();
  private final Map<String, Map<String, Group>> groups = new HashMap<>();
  private final PoolCapacity sparePool;
  private final int dataCentreCount;
  private final boolean isDataCentreOut;
  private final boolean needsOwnBuffers;

  /**
   * Copies the pools and the instances that count as capacity.
   *
   * @param lost instances that count as lost although the state still contains them
   */
  FleetCapacity(ControlState state, FleetText text, Set<String> lost) {
    Map<String, Integer> dataCentres = new HashMap<>();
    Set<String> out = new HashSet<>();
    for (DataCentreEntry entry : state.dataCentres().values()) {
      dataCentres.put(entry.dataCentre(), dataCentres.size());
      if (entry.isOut()) {
        out.add(entry.dataCentre());
      }
    }
    dataCentreCount = dataCentres.size();
    isDataCentreOut = !out.isEmpty();
    needsOwnBuffers = text.fleet().weighting().reservesDataCentreBufferPerPool();
    addPools(text);
    sparePool = pools.get(text.fleet().sparePool());
    for (InstanceEntry entry : state.instances().values()) {
      Integer dataCentre = dataCentres.get(entry.dataCentre());
      if (dataCentre != null
          && isPresent(entry.health())
          && !out.contains(entry.dataCentre())
          && !lost.contains(entry.instance())) {
        put(pools.get(entry.pool()), toCapacityInstance(entry, dataCentre));
      }
    }
  }

  /**
   * Returns whether an instance counts as present. Instances in maintenance do, since they return
   * soon, but not while a data centre is out, since every missing instance matters then.
   */
  private boolean isPresent(InstanceHealth health) {
    return health.isAvailable() || (health == InstanceHealth.IN_MAINTENANCE && !isDataCentreOut);
  }

  private static CapacityInstance toCapacityInstance(InstanceEntry entry, int dataCentre) {
    String rack = entry.rack().isEmpty() ? "\n" + entry.instance() : entry.rack();
    return new CapacityInstance(entry.instance(), dataCentre, rack, entry.health().isAvailable());
  }

  private void addPools(FleetText text) {
    Map<String, int[]> counts = new HashMap<>();
    for (ServiceSpec service : text.services().values()) {
      int[] count = counts.computeIfAbsent(service.pool(), pool -> new int[2]);
      count[0] = Math.max(count[0], service.minAvailableCount());
      count[1] += service.neededCount();
    }
    for (String pool : text.pools().keySet()) {
      int[] count = counts.getOrDefault(pool, new int[2]);
      pools.put(pool, new PoolCapacity(pool, count[0], count[1], dataCentreCount));
    }
  }

  private void put(PoolCapacity pool, CapacityInstance instance) {
    pool.add(instance, 1);
    if (instance.isAvailable()) {
      groupOf(pool, instance).instances().add(instance);
    }
  }

  private Group groupOf(PoolCapacity pool, CapacityInstance instance) {
    return groups
        .computeIfAbsent(pool.pool(), name -> new TreeMap<>())
        .computeIfAbsent(
            instance.dataCentre() + "/" + instance.rack(),
            rack -> new Group(pool, new ArrayList<>()));
  }

  Iterable<PoolCapacity> pools() {
    return pools.values();
  }

  PoolCapacity sparePool() {
    return sparePool;
  }

  /**
   * Returns the non-empty groups of all pools that can give up an instance, ordered by pool name.
   */
  List<Group> donorGroups() {
    List<Group> donors = new ArrayList<>();
    for (PoolCapacity pool : pools.values()) {
      if (pool.canReleaseInstance()) {
        for (Group group : groups.getOrDefault(pool.pool(), Map.of()).values()) {
          if (!group.instances().isEmpty()) {
            donors.add(group);
          }
        }
      }
    }
    return donors;
  }

  /** Moves an instance in this copy of the fleet. */
  void move(CapacityInstance instance, PoolCapacity from, PoolCapacity to) {
    groupOf(from, instance).instances().remove(instance);
    from.add(instance, -1);
    put(to, instance);
  }

  /**
   * Returns how many instances a pool is short of at a level. For {@link
   * CapacityLevel#SHARED_BUFFER} this does not count the buffer in the spare pool, which {@link
   * Totals} does.
   */
  int shortCount(PoolCapacity pool, CapacityLevel level) {
    return switch (level) {
      case BUDGET -> pool.budgetShortCount();
      case ORDINARY_LOAD -> pool.shortCount();
      case RACK_LOSS -> isDataCentreOut ? 0 : pool.shortAfterRackLossCount();
      case SHARED_BUFFER -> isDataCentreOut ? 0 : pool.shortAfterDataCentreLossesCount();
      case OWN_BUFFER ->
          isDataCentreOut || !needsOwnBuffers ? 0 : pool.shortAfterDataCentreLossesCount();
    };
  }

  Totals totals() {
    Totals totals = new Totals();
    pools.values().forEach(pool -> totals.add(pool, 1));
    return totals;
  }

  /**
   * Sums over all pools. A move changes the terms of two pools only, so they can be updated
   * cheaply.
   */
  final class Totals {
    private final int[] counts = new int[CapacityLevel.values().length];
    private final int[] shortWithout = new int[dataCentreCount];

    void add(PoolCapacity pool, int sign) {
      for (CapacityLevel level : CapacityLevel.values()) {
        counts[level.index()] += sign * shortCount(pool, level);
      }
      for (int dataCentre = 0; dataCentre < dataCentreCount; dataCentre++) {
        shortWithout[dataCentre] += sign * pool.shortWithoutCount(dataCentre);
      }
    }

    Shortfall shortfall() {
      int[] result = counts.clone();
      int missing = 0;
      for (int dataCentre = 0; dataCentre < dataCentreCount; dataCentre++) {
        missing += missingWithout(dataCentre);
      }
      result[CapacityLevel.SHARED_BUFFER.index()] = missing;
      return new Shortfall(result);
    }

    /**
     * Returns the largest shortage that the loss of a single data centre would cause and that the
     * spare pool could not cover.
     */
    int mostMissingCount() {
      int most = 0;
      for (int dataCentre = 0; dataCentre < dataCentreCount; dataCentre++) {
        most = Math.max(most, missingWithout(dataCentre));
      }
      return most;
    }

    /**
     * Returns the part of the shortage after the loss of a data centre that the spare pool cannot
     * cover. It is 0 while a data centre is out, since only the loss of one at a time is planned
     * for.
     */
    private int missingWithout(int dataCentre) {
      int buffer = Math.max(0, sparePool.surplusWithoutCount(dataCentre));
      return isDataCentreOut ? 0 : Math.max(0, shortWithout[dataCentre] - buffer);
    }
  }
}
