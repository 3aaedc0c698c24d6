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
  private final Map<String, MinionHealth> healths = new HashMap<>();
  private Map<String, ListedInstance.State> listed = Map.of();
  private ControlState state = ControlState.empty();
  private int rotation;

  /** Creates the table of a pool, without any minion. */
  public MinionTable(String pool) {
    this.pool = pool;
  }

  /**
   * Takes over the instances of the pool.
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
        healths.computeIfAbsent(instance.instance(), name -> new MinionHealth());
      }
    }
    healths.keySet().retainAll(minions.keySet());
  }

  /** Returns a minion of the pool. */
  public Optional<InstanceEntry> find(String instance) {
    return Optional.ofNullable(minions.get(instance));
  }

  /** Returns whether a minion may get new requests, by everything known of it. */
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
    MinionHealth health = healths.get(instance);
    if (listed.get(instance) == ListedInstance.State.LEAVING || health.isLeaving(nowMs)) {
      return MinionState.LEAVING;
    }
    return health.isFailing() ? MinionState.FAILING : MinionState.AVAILABLE;
  }

  /**
   * Returns the minions that the slot plan counts with.
   *
   * <p>It leaves out what daemons see differently (failures and announcements of leaving), so that
   * all compute the same plan.
   */
  public List<MinionSlots> planned(int slotsPerMinion) {
    return minions.values().stream()
        .filter(entry -> entry.health().isAvailable() && !isDataCentreOut(entry))
        .filter(entry -> isListedLive(entry.instance()))
        .map(entry -> new MinionSlots(entry.instance(), slotsPerMinion))
        .toList();
  }

  /** Returns whether any of the given minions may get requests, now or as a probe that is due. */
  public boolean hasUsable(Collection<String> instances, long nowMs) {
    return instances.stream().anyMatch(minion -> mayTake(minion, true, nowMs));
  }

  /**
   * Chooses the minion with the fewest own outstanding requests, penalised by recent failures.
   *
   * @param slots the slots of this daemon by minion
   * @param outstanding requests of this daemon that are outstanding at a minion
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
      if (used >= slot.getValue() || !mayTake(minion, used == 0, nowMs)) {
        continue;
      }
      // The last term only breaks ties, so that idle minions take turns.
      int score = 1_000 * (used + FAILURE_WEIGHT * healths.get(minion).failureCount());
      score += Math.floorMod(position + rotation, slots.size());
      if (score < bestScore) {
        bestScore = score;
        best = minion;
      }
    }
    if (best != null && healths.get(best).isFailing()) {
      healths.get(best).probing(nowMs);
    }
    return Optional.ofNullable(best);
  }

  /** Notes a complete answer. */
  public void succeeded(String instance) {
    healthOf(instance).ifPresent(MinionHealth::succeeded);
  }

  /** Notes a time-out, a lost connection or a failed connect. */
  public void failed(String instance, long nowMs) {
    healthOf(instance).ifPresent(health -> health.failed(nowMs));
  }

  /** Notes an answer that says that the minion is leaving. */
  public void announcedLeaving(String instance, long nowMs) {
    healthOf(instance).ifPresent(health -> health.announcedLeaving(nowMs));
  }

  private boolean mayTake(String minion, boolean mayProbe, long nowMs) {
    MinionState current = stateOf(minion, nowMs);
    return current.isUsable()
        || (current == MinionState.FAILING && mayProbe && healths.get(minion).isProbeDue(nowMs));
  }

  private boolean isListedLive(String instance) {
    return listed.isEmpty() || listed.get(instance) == ListedInstance.State.LIVE;
  }

  private boolean isDataCentreOut(InstanceEntry entry) {
    return state.dataCentres().get(entry.dataCentre()).exists(dataCentre -> dataCentre.isOut());
  }

  private Optional<MinionHealth> healthOf(String instance) {
    return Optional.ofNullable(healths.get(instance));
  }
}
