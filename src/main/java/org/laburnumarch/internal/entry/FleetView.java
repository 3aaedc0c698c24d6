package org.laburnumarch.internal.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.laburnumarch.internal.peer.PeerMessage.PoolDemand;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.MemberEntry;
import org.laburnumarch.spi.ListedInstance;

/** Snapshot of the inputs of routing. */
record FleetView(
    ControlState state,
    List<ListedInstance> instances,
    Map<String, List<PoolDemand>> reports,
    String memberId) {

  static FleetView empty() {
    return new FleetView(ControlState.empty(), List.of(), Map.of(), "");
  }

  static FleetView of(EntryEnvironment environment) {
    return new FleetView(
        environment.state().get(),
        environment.instances().get(),
        environment.demandReports().get(),
        environment.memberId().get());
  }

  /** Returns whether all inputs are equal, so that routing need not be computed again. */
  boolean isSameAs(FleetView other) {
    return isViewOf(other.state)
        && memberId.equals(other.memberId)
        && instances.equals(other.instances)
        && reports.equals(other.reports);
  }

  /** Returns whether this is a view of the given state; each state is a new object. */
  @SuppressWarnings("ReferenceEquality") // Comparing whole tables would cost more than a refresh.
  boolean isViewOf(ControlState other) {
    return state == other;
  }

  Map<String, ListedInstance.State> listedStates() {
    Map<String, ListedInstance.State> states = new HashMap<>();
    instances.forEach(instance -> states.put(instance.id(), instance.state()));
    return states;
  }

  /** Returns the demand for a pool of every member that may hold connections to minions. */
  SortedMap<String, Integer> demandFor(String pool) {
    SortedMap<String, Integer> demand = new TreeMap<>();
    for (MemberEntry member : state.members().values()) {
      if (member.seat() != MemberEntry.NO_SEAT && !member.status().isDeparted()) {
        demand.put(member.memberId(), reportedDemand(member.memberId(), pool));
      }
    }
    return demand;
  }

  private int reportedDemand(String member, String pool) {
    return reports.getOrDefault(member, List.of()).stream()
        .filter(report -> report.pool().equals(pool))
        .mapToInt(report -> report.running() + report.queued())
        .sum();
  }
}
