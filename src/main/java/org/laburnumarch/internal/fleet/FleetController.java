package org.laburnumarch.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.spi.ListedInstance;
import org.laburnumarch.spi.PoolControl;

/**
 * Plans capacity and maintenance. Gets the observations of a daemon and returns the actions that
 * the daemon must carry out.
 *
 * <p>Times are instants of the daemon's monotonic clock unless stated otherwise. Not thread-safe.
 */
public final class FleetController {
  private final InstanceLossDetector lossDetector = new InstanceLossDetector();
  private final CapacityController capacity = new CapacityController();
  private final MaintenanceController maintenance = new MaintenanceController();

  /** Updates the set of lost instances from a complete instance list. */
  public void onList(List<ListedInstance> listed, ControlState state, long nowMs) {
    lossDetector.onList(listed, state, nowMs);
  }

  /**
   * Returns the actions that are due.
   *
   * @param memberId id of the member that this daemon runs as
   * @param nowEpochMs wall clock, which determines when maintenance is due; a wrong clock cannot
   *     cause an availability budget to be violated
   */
  public List<FleetAction> onTick(
      ControlState state, String memberId, long nowMs, long nowEpochMs) {
    List<FleetAction> due = new ArrayList<>();
    for (var move : capacity.onTick(state, lossDetector.lost(), memberId, nowMs)) {
      due.add(new FleetAction.Append(move));
    }
    due.addAll(
        maintenance.onTick(
            state, lossDetector.lost(), capacity.isShort(), memberId, nowMs, nowEpochMs));
    return due;
  }

  /**
   * Returns the actions that are due after the platform's response to {@link
   * FleetAction.QueryStatus}.
   */
  public List<FleetAction> onStatus(
      ControlState state, String instance, PoolControl.Status status, long nowMs) {
    return maintenance.onStatus(state, instance, status, lossDetector.isLive(instance), nowMs);
  }
}
