package org.laburnumarch.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.internal.state.InstanceHealth;
import org.laburnumarch.internal.state.RecordBody.MaintenanceFinished;
import org.laburnumarch.spi.PoolControl;

/**
 * Takes one instance through drain, reboot and verification by what the platform says of it.
 *
 * <p>A daemon that takes the instance over knows nothing of earlier steps. It drains and reboots it
 * again unless the platform shows that it is past that, which costs time and no correctness.
 */
final class MaintenanceRun {

  /** Drain and reboot together; an instance that takes longer counts as failed. */
  static final long TIMEOUT_MS = 15 * 60_000;

  /** Answers that have to say the same before an instance counts as healthy. */
  static final int HEALTHY_ANSWERS = 2;

  private static final long ASK_PAUSE_MS = 1_000;
  private static final long ASK_FAILED_PAUSE_MS = 30_000;
  private static final long RETRY_MS = 5_000;

  private final String instance;
  private final long deadlineMs;
  private boolean isDrained;
  private int healthyCount;
  private long askAtMs;
  private long finishAtMs;

  MaintenanceRun(String instance, long nowMs) {
    this.instance = instance;
    this.deadlineMs = nowMs + TIMEOUT_MS;
  }

  List<FleetEffect> onTick(InstanceHealth health, long nowMs) {
    List<FleetEffect> due = new ArrayList<>();
    if (health == InstanceHealth.IN_MAINTENANCE && nowMs >= deadlineMs) {
      finish(false, nowMs, due);
    } else if (nowMs >= askAtMs) {
      askAtMs = nowMs + (health == InstanceHealth.FAILED ? ASK_FAILED_PAUSE_MS : ASK_PAUSE_MS);
      due.add(new FleetEffect.AskStatus(instance));
    }
    return due;
  }

  /**
   * Takes an answer of the platform.
   *
   * @param isListedLive whether the instance list does not contradict that the instance is live
   */
  List<FleetEffect> onStatus(
      PoolControl.Status status, InstanceHealth health, boolean isListedLive, long nowMs) {
    List<FleetEffect> due = new ArrayList<>();
    boolean isPastReboot = isDrained || health == InstanceHealth.FAILED;
    if (status == PoolControl.Status.SERVING && isPastReboot) {
      healthyCount++;
      if (healthyCount >= HEALTHY_ANSWERS && isListedLive) {
        finish(true, nowMs, due);
      }
      return due;
    }
    healthyCount = 0;
    switch (status) {
      case SERVING -> due.add(new FleetEffect.Drain(instance));
      case DRAINING -> {}
      case DRAINED -> {
        isDrained = true;
        due.add(new FleetEffect.Reboot(instance));
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

  private void finish(boolean isHealthy, long nowMs, List<FleetEffect> due) {
    if (nowMs >= finishAtMs) {
      finishAtMs = nowMs + RETRY_MS;
      due.add(new FleetEffect.Append(new MaintenanceFinished(instance, isHealthy)));
    }
  }
}
