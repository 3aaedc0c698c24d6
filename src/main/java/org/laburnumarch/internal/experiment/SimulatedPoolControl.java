package org.laburnumarch.internal.experiment;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.laburnumarch.spi.PoolControl.Status;

/** Simulates the drain and reboot of instances by the platform, in virtual time. */
final class SimulatedPoolControl {

  /** The status of an instance and when it ends. */
  private record StatusUntil(Status status, long endsAtMs) {}

  private final Map<String, StatusUntil> statuses = new HashMap<>();
  private final Set<String> failingReboots = new HashSet<>();
  private final long drainMs;
  private final long rebootMs;

  SimulatedPoolControl(long drainMs, long rebootMs) {
    this.drainMs = drainMs;
    this.rebootMs = rebootMs;
  }

  void failReboot(String instance) {
    failingReboots.add(instance);
  }

  void drain(String instance, long nowMs) {
    Status status = status(instance, nowMs);
    if (status == Status.SERVING || status == Status.FAILED) {
      statuses.put(instance, new StatusUntil(Status.DRAINING, nowMs + drainMs));
    }
  }

  void reboot(String instance, long nowMs) {
    Status status = status(instance, nowMs);
    if (status == Status.DRAINED || status == Status.FAILED) {
      statuses.put(instance, new StatusUntil(Status.REBOOTING, nowMs + rebootMs));
    }
  }

  Status status(String instance, long nowMs) {
    StatusUntil current = statuses.get(instance);
    if (current == null) {
      return Status.SERVING;
    }
    if (nowMs < current.endsAtMs()) {
      return current.status();
    }
    Status ended =
        switch (current.status()) {
          case DRAINING -> Status.DRAINED;
          case REBOOTING -> failingReboots.remove(instance) ? Status.FAILED : Status.SERVING;
          default -> current.status();
        };
    statuses.put(instance, new StatusUntil(ended, Long.MAX_VALUE));
    return ended;
  }
}
