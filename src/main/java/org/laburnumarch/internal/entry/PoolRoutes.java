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

/** The minions of one pool with this daemon's slots and connections; guarded by the lock. */
final class PoolRoutes {
  private final String pool;
  private final Function<String, MinionClient> clients;
  private final MinionTable table;
  private final SlotPlanner planner = new SlotPlanner();
  private final Map<String, MinionLink> links = new HashMap<>();
  private Map<String, Integer> slots = Map.of();

  PoolRoutes(String pool, Function<String, MinionClient> clients) {
    this.pool = pool;
    this.clients = clients;
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

  boolean hasUsable(long nowMs) {
    return table.hasUsable(slots.keySet(), nowMs);
  }

  Optional<MinionLink> choose(long nowMs) {
    return table.choose(slots, this::outstanding, nowMs).map(links::get);
  }

  MinionState stateOf(MinionLink link, long nowMs) {
    return links.get(link.instance()) == link
        ? table.stateOf(link.instance(), nowMs)
        : MinionState.NOT_LISTED;
  }

  /** Asserts invariants 5 and 9 for a request that is about to be written. */
  void assertMayTake(MinionLink link, ControlState state, long nowMs) {
    InstanceEntry minion = table.find(link.instance()).orElse(null);
    if (minion == null || table.stateOf(link.instance(), nowMs) == MinionState.LEAVING) {
      throw new InvariantBreachException(
          ResultCode.INVARIANT_LEAVING,
          "a request was about to go to " + link.instance() + ", which is leaving or gone");
    }
    DispatchCheck.assertDataCentre(minion, state);
  }

  void answered(
      Attempt attempt, Reply.FromMinion reply, boolean isLeaving, long nowMs, Effects effects) {
    MinionLink link = attempt.link();
    table.recordSuccess(link.instance());
    if (isLeaving) {
      table.recordLeaving(link.instance(), nowMs);
      link.closeIdle(effects);
    }
    attempt.connection().answered(nowMs);
    if (isLeaving || reply.headers().containsIgnoreCase("connection", "close")) {
      MinionLink.closeLater(attempt.connection(), effects);
    } else {
      link.keep(attempt.connection(), effects);
    }
  }

  void failed(Attempt attempt, long nowMs) {
    table.recordFailure(attempt.link().instance(), nowMs);
  }

  /** Closes the connection of a failed attempt, so that a late answer meets nobody. */
  static void discard(Attempt attempt, Effects effects) {
    effects.add(attempt.exchange()::cancel);
    if (attempt.connection() != null) {
      MinionLink.closeLater(attempt.connection(), effects);
    }
  }

  private int outstanding(String instance) {
    MinionLink link = links.get(instance);
    return link.hasRoom() ? link.outstanding() : Integer.MAX_VALUE;
  }

  private void refreshLinks(int maxConnections, Effects effects) {
    links
        .entrySet()
        .removeIf(
            entry -> {
              boolean isGone =
                  !table
                      .find(entry.getKey())
                      .map(minion -> minion.address().equals(entry.getValue().address()))
                      .orElse(false);
              if (isGone) {
                entry.getValue().retire(effects);
              }
              return isGone;
            });
    for (String instance : slots.keySet()) {
      String address = table.find(instance).orElseThrow().address();
      links
          .computeIfAbsent(instance, name -> new MinionLink(name, address, clients.apply(address)))
          .resize(maxConnections);
    }
  }
}
