package org.laburnumarch.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.internal.state.InstanceHealth;
import org.laburnumarch.internal.state.RecordBody.MaintenanceFinished;
import org.laburnumarch.spi.PoolControl;

/**
 * Controls drain, reboot and verification of one instance according to the status that the platform
 * reports.
 *
 * <p>After a takeover, the new daemon does not know which steps are done. It drains and reboots the
 * instance again unless the status shows that this has happened. That takes time but is safe.
 */
final class MaintenanceRun {

  /** Limit for drain and reboot together; an instance that takes longer counts as failed. */
  static final long TIMEOUT_MS = 15 * 60_000;

  /** Consecutive responses with the serving status after which an instance counts as healthy. */
  static final int HEALTHY_RESPONSES = 2;

  private static final long QUERY_INTERVAL_MS = 1_000;
  private static final long FAILED_QUERY_INTERVAL_MS = 30_000;
  private static final long RETRY_MS = 5_000;

  private final String instance;
  private final long deadlineMs;
  private boolean isDrained;
  private int healthyCount;
  private long nextQueryAtMs;
  private long nextFinishAtMs;

  MaintenanceRun(String instance, long nowMs) {
    this.instance = instance;
    this.deadlineMs = nowMs + TIMEOUT_MS;
  }

  List<FleetAction> onTick(InstanceHealth health, long nowMs) {
    List<FleetAction> due = new ArrayList<>();
    if (health == InstanceHealth.IN_MAINTENANCE && nowMs >= deadlineMs) {
      finish(false, nowMs, due);
    } else if (nowMs >= nextQueryAtMs) {
      nextQueryAtMs =
          nowMs + (health == InstanceHealth.FAILED ? FAILED_QUERY_INTERVAL_MS : QUERY_INTERVAL_MS);
      due.add(new FleetAction.QueryStatus(instance));
    }
    return due;
  }

  /**
   * Returns the actions that are due after a status response of the platform.
   *
   * @param isListedLive whether nothing in the instance lists contradicts that the instance is live
   */
  List<FleetAction> onStatus(
      PoolControl.Status status, InstanceHealth health, boolean isListedLive, long nowMs) {
    List<FleetAction> due = new ArrayList<>();
    boolean isPastReboot = isDrained || health == InstanceHealth.FAILED;
    if (status == PoolControl.Status.SERVING && isPastReboot) {
      healthyCount++;
      if (healthyCount >= HEALTHY_RESPONSES && isListedLive) {
        finish(true, nowMs, due);
      }
      return due;
    }
    healthyCount = 0;
    switch (status) {
      case SERVING -> due.add(new FleetAction.Drain(instance));
      case DRAINING -> {}
      case DRAINED -> {
        isDrained = true;
        due.add(new FleetAction.Reboot(instance));
      }
      case REBOOTING -> isDrained = true;
      case FAILED -> {
        if (health == InstanceHealth.IN_MAINTENANCE) {
          finish(false, nowMs, due);
        }
      }
    }
    return due;
  }

  private void finish(boolean isHealthy, long nowMs, List<FleetAction> due) {
    if (nowMs >= nextFinishAtMs) {
      nextFinishAtMs = nowMs + RETRY_MS;
      due.add(new FleetAction.Append(new MaintenanceFinished(instance, isHealthy)));
    }
  }
}
