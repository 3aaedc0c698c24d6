package org.laburnumarch.internal.experiment;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.laburnumarch.spi.PoolControl.Status;

/** The platform's drain and reboot in virtual time. */
final class SimulatedPools {

  /** What an instance does, and when that ends. */
  private record Work(Status status, long endsAtMs) {}

  private final Map<String, Work> work = new HashMap<>();
  private final Set<String> failing = new HashSet<>();
  private final long drainMs;
  private final long rebootMs;

  SimulatedPools(long drainMs, long rebootMs) {
    this.drainMs = drainMs;
    this.rebootMs = rebootMs;
  }

  void failReboot(String instance) {
    failing.add(instance);
  }

  void drain(String instance, long nowMs) {
    Status status = status(instance, nowMs);
    if (status == Status.SERVING || status == Status.FAILED) {
      work.put(instance, new Work(Status.DRAINING, nowMs + drainMs));
    }
  }

  void reboot(String instance, long nowMs) {
    Status status = status(instance, nowMs);
    if (status == Status.DRAINED || status == Status.FAILED) {
      work.put(instance, new Work(Status.REBOOTING, nowMs + rebootMs));
    }
  }

  Status status(String instance, long nowMs) {
    Work current = work.get(instance);
    if (current == null) {
      return Status.SERVING;
    }
    if (nowMs < current.endsAtMs()) {
      return current.status();
    }
    Status ended =
        switch (current.status()) {
          case DRAINING -> Status.DRAINED;
          case REBOOTING -> failing.remove(instance) ? Status.FAILED : Status.SERVING;
          default -> current.status();
        };
    work.put(instance, new Work(ended, Long.MAX_VALUE));
    return ended;
  }
}
