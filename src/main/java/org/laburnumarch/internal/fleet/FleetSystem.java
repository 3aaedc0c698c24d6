package org.laburnumarch.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.spi.ListedInstance;
import org.laburnumarch.spi.PoolControl;

/**
 * Keeps capacity and runs maintenance: takes what a daemon sees and returns what it has to do.
 *
 * <p>Times are instants of the daemon's monotonic clock unless they say otherwise. Not thread-safe.
 */
public final class FleetSystem {
  private final InstanceReports reports = new InstanceReports();
  private final CapacitySystem capacity = new CapacitySystem();
  private final MaintenanceSystem maintenance = new MaintenanceSystem();

  /** Takes a whole list of instances. */
  public void onList(List<ListedInstance> listed, ControlState state, long nowMs) {
    reports.onList(listed, state, nowMs);
  }

  /**
   * Returns what is due.
   *
   * @param memberId the member that this daemon is
   * @param nowEpochMs wall clock; maintenance is due by it, and a wrong one breaks no budget
   */
  public List<FleetEffect> onTick(
      ControlState state, String memberId, long nowMs, long nowEpochMs) {
    List<FleetEffect> due = new ArrayList<>();
    for (var move : capacity.step(state, reports.lost(), memberId, nowMs)) {
      due.add(new FleetEffect.Append(move));
    }
    due.addAll(
        maintenance.step(state, reports.lost(), capacity.isShort(), memberId, nowMs, nowEpochMs));
    return due;
  }

  /** Takes the platform's answer to {@link FleetEffect.AskStatus} and returns what is due. */
  public List<FleetEffect> onStatus(
      ControlState state, String instance, PoolControl.Status status, long nowMs) {
    return maintenance.onStatus(state, instance, status, reports.isLive(instance), nowMs);
  }
}
