package org.laburnumarch.internal.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.routing.ConnectionRule;
import org.laburnumarch.internal.routing.MinionSlots;
import org.laburnumarch.internal.routing.MinionState;
import org.laburnumarch.internal.routing.MinionTable;
import org.laburnumarch.internal.routing.SlotPlanner;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.InstanceEntry;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.PoolSpec;

/**
 * The minions of one pool with this daemon's slots and connections.
 *
 * <p>Guarded by the lock of the dispatcher.
 */
final class PoolMinions {
  private final String pool;
  private final Function<String, MinionClient> clientFactory;
  private final MinionTable table;
  private final SlotPlanner planner = new SlotPlanner();
  private final Map<String, MinionLink> links = new HashMap<>();
  private Map<String, Integer> slots = Map.of();

  PoolMinions(String pool, Function<String, MinionClient> clientFactory) {
    this.pool = pool;
    this.clientFactory = clientFactory;
    this.table = new MinionTable(pool);
  }

  void refresh(FleetView view, Effects effects) {
    table.refresh(view.state(), view.listedStates());
    FleetText text = view.state().text().orElse(null);
    PoolSpec spec = text == null ? null : text.pools().get(pool).getOrNull();
    if (spec == null) {
      close(effects);
      return;
    }
    int maxConnections =
        ConnectionRule.connectionsPerSeat(spec.connectionsPerMinion(), text.fleet().maxSeats());
    List<MinionSlots> minions = table.plannableMinions(spec.slotsPerMinion());
    slots = planner.plan(minions, view.demandFor(pool), maxConnections).slotsOf(view.memberId());
    refreshLinks(maxConnections, effects);
  }

  void close(Effects effects) {
    slots = Map.of();
    links.values().forEach(link -> link.retire(effects));
    links.clear();
  }

  int totalSlots() {
    return slots.values().stream().mapToInt(Integer::intValue).sum();
  }

  boolean hasEligible(long nowMs) {
    return table.hasEligible(slots.keySet(), nowMs);
  }

  Optional<MinionLink> choose(long nowMs) {
    return table.choose(slots, this::outstanding, nowMs).map(links::get);
  }

  MinionState stateOf(MinionLink link, long nowMs) {
    return links.get(link.instance()) == link
        ? table.stateOf(link.instance(), nowMs)
        : MinionState.NOT_LISTED;
  }

  /**
   * Asserts {@link ResultCode#INVARIANT_DATA_CENTRE} and {@link ResultCode#INVARIANT_LEAVING} for a
   * request that is about to be written.
   */
  void assertMayReceive(MinionLink link, ControlState state, long nowMs) {
    InstanceEntry minion = table.find(link.instance()).orElse(null);
    if (minion == null || table.stateOf(link.instance(), nowMs) == MinionState.LEAVING) {
      throw new InvariantBreachException(
          ResultCode.INVARIANT_LEAVING,
          "a request was about to go to "
              + link.instance()
              + ", which is leaving or no longer in the pool");
    }
    DispatchCheck.assertDataCentre(minion, state);
  }

  void onResponse(
      Attempt attempt, Reply.FromMinion reply, boolean isLeaving, long nowMs, Effects effects) {
    MinionLink link = attempt.link();
    table.recordSuccess(link.instance());
    if (isLeaving) {
      table.recordLeaving(link.instance(), nowMs);
      link.closeIdle(effects);
    }
    attempt.connection().markIdle(nowMs);
    if (isLeaving || reply.headers().containsIgnoreCase("connection", "close")) {
      MinionLink.closeLater(attempt.connection(), effects);
    } else {
      link.keepIdle(attempt.connection(), effects);
    }
  }

  void recordFailure(Attempt attempt, long nowMs) {
    table.recordFailure(attempt.link().instance(), nowMs);
  }

  /** Closes the connection of a failed attempt, so that no other request gets a late response. */
  static void discard(Attempt attempt, Effects effects) {
    effects.add(attempt.exchange()::cancel);
    if (attempt.connection() != null) {
      MinionLink.closeLater(attempt.connection(), effects);
    }
  }

  private int outstanding(String instance) {
    MinionLink link = links.get(instance);
    return link.hasFreeCapacity() ? link.outstanding() : Integer.MAX_VALUE;
  }

  private void refreshLinks(int maxConnections, Effects effects) {
    links
        .entrySet()
        .removeIf(
            entry -> {
              boolean isRemoved =
                  !table
                      .find(entry.getKey())
                      .map(minion -> minion.address().equals(entry.getValue().address()))
                      .orElse(false);
              if (isRemoved) {
                entry.getValue().retire(effects);
              }
              return isRemoved;
            });
    for (String instance : slots.keySet()) {
      String address = table.find(instance).orElseThrow().address();
      links
          .computeIfAbsent(
              instance, name -> new MinionLink(name, address, clientFactory.apply(address)))
          .resize(maxConnections);
    }
  }
}
