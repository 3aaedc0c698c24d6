package org.laburnumarch.internal.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.InstanceEntry;
import org.laburnumarch.spi.ListedInstance;

/**
 * The minions of one pool as one daemon sees them.
 *
 * <p>Confined to one thread at a time.
 */
public final class MinionTable {
  /** A recent failure weighs as much as this many outstanding requests. */
  private static final int FAILURE_WEIGHT = 4;

  private final String pool;
  private final Map<String, InstanceEntry> minions = new TreeMap<>();
  private final Map<String, MinionHealth> healthByInstance = new HashMap<>();
  private Map<String, ListedInstance.State> listed = Map.of();
  private ControlState state = ControlState.empty();
  private int rotation;

  /** Creates the table of a pool, without any minion. */
  public MinionTable(String pool) {
    this.pool = pool;
  }

  /**
   * Replaces the minions by the instances of the pool in a control state.
   *
   * @param listedStates the instance list by instance; empty if none was ever fetched, in which
   *     case the control state alone decides
   */
  public void refresh(ControlState newState, Map<String, ListedInstance.State> listedStates) {
    state = newState;
    listed = listedStates;
    minions.clear();
    for (InstanceEntry instance : newState.instances().values()) {
      if (instance.pool().equals(pool)) {
        minions.put(instance.instance(), instance);
        healthByInstance.computeIfAbsent(instance.instance(), name -> new MinionHealth());
      }
    }
    healthByInstance.keySet().retainAll(minions.keySet());
  }

  /** Returns a minion of the pool. */
  public Optional<InstanceEntry> find(String instance) {
    return Optional.ofNullable(minions.get(instance));
  }

  /** Returns whether a minion may get new requests, or why not. */
  public MinionState stateOf(String instance, long nowMs) {
    InstanceEntry entry = minions.get(instance);
    if (entry == null || (!listed.isEmpty() && !listed.containsKey(instance))) {
      return MinionState.NOT_LISTED;
    }
    if (isDataCentreOut(entry)) {
      return MinionState.DATA_CENTRE_OUT;
    }
    if (!entry.health().isAvailable()) {
      return MinionState.DRAINED;
    }
    MinionHealth health = healthByInstance.get(instance);
    if (listed.get(instance) == ListedInstance.State.LEAVING || health.isLeaving(nowMs)) {
      return MinionState.LEAVING;
    }
    return health.isFailing() ? MinionState.FAILING : MinionState.AVAILABLE;
  }

  /**
   * Returns the minions whose slots the slot plan assigns.
   *
   * <p>It ignores what daemons observe differently (failures and announcements of leaving), so that
   * all of them compute the same plan.
   */
  public List<MinionSlots> plannableMinions(int slotsPerMinion) {
    return minions.values().stream()
        .filter(entry -> entry.health().isAvailable() && !isDataCentreOut(entry))
        .filter(entry -> isListedLive(entry.instance()))
        .map(entry -> new MinionSlots(entry.instance(), slotsPerMinion))
        .toList();
  }

  /** Returns whether any of the given minions may get requests, now or as a probe that is due. */
  public boolean hasEligible(Collection<String> instances, long nowMs) {
    return instances.stream().anyMatch(minion -> isEligible(minion, true, nowMs));
  }

  /**
   * Chooses the minion with the fewest of this daemon's requests outstanding; recent failures count
   * against a minion.
   *
   * @param slots the slots of this daemon by minion
   * @param outstanding number of this daemon's requests that are outstanding at a minion
   */
  public Optional<String> choose(
      Map<String, Integer> slots, ToIntFunction<String> outstanding, long nowMs) {
    String best = null;
    int bestScore = Integer.MAX_VALUE;
    rotation++;
    int position = 0;
    for (Map.Entry<String, Integer> slot : slots.entrySet()) {
      String minion = slot.getKey();
      int used = outstanding.applyAsInt(minion);
      position++;
      if (used >= slot.getValue() || !isEligible(minion, used == 0, nowMs)) {
        continue;
      }
      // This term only breaks ties, so that idle minions are chosen in turn.
      int score = 1_000 * (used + FAILURE_WEIGHT * healthByInstance.get(minion).failureCount());
      score += Math.floorMod(position + rotation, slots.size());
      if (score < bestScore) {
        bestScore = score;
        best = minion;
      }
    }
    if (best != null && healthByInstance.get(best).isFailing()) {
      healthByInstance.get(best).recordProbe(nowMs);
    }
    return Optional.ofNullable(best);
  }

  /** Records a complete response. */
  public void recordSuccess(String instance) {
    findHealth(instance).ifPresent(MinionHealth::recordSuccess);
  }

  /** Records a timeout, a lost connection or a failed connect. */
  public void recordFailure(String instance, long nowMs) {
    findHealth(instance).ifPresent(health -> health.recordFailure(nowMs));
  }

  /** Records a response that announces that the minion is leaving. */
  public void recordLeaving(String instance, long nowMs) {
    findHealth(instance).ifPresent(health -> health.recordLeaving(nowMs));
  }

  private boolean isEligible(String minion, boolean mayProbe, long nowMs) {
    MinionState current = stateOf(minion, nowMs);
    return current.isUsable()
        || (current == MinionState.FAILING
            && mayProbe
            && healthByInstance.get(minion).isProbeDue(nowMs));
  }

  private boolean isListedLive(String instance) {
    return listed.isEmpty() || listed.get(instance) == ListedInstance.State.LIVE;
  }

  private boolean isDataCentreOut(InstanceEntry entry) {
    return state.dataCentres().get(entry.dataCentre()).exists(dataCentre -> dataCentre.isOut());
  }

  private Optional<MinionHealth> findHealth(String instance) {
    return Optional.ofNullable(healthByInstance.get(instance));
  }
}
