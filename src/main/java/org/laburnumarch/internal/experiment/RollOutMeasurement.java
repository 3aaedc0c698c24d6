package org.laburnumarch.internal.experiment;

import java.io.PrintStream;
import java.util.List;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.ServiceSpec;

/** Measures how long it takes to maintain a whole fleet in which every instance is overdue. */
record RollOutMeasurement(FleetScenario scenario, int drainSeconds, int rebootSeconds) {
  private static final long DAY_MS = 24 * 60 * 60 * 1_000L;

  boolean print(PrintStream out) {
    int perInstanceSeconds = drainSeconds + rebootSeconds;
    double seconds = maintenanceMs() / 1e3;
    int boundSeconds = minRounds() * perInstanceSeconds;
    out.printf(
        "  roll-out: %.0f s for %d instances; budgets allow %d s (%+.1f%%); one at a time %d s%n",
        seconds,
        scenario.size(),
        boundSeconds,
        100 * (seconds / boundSeconds - 1),
        scenario.size() * perInstanceSeconds);
    return seconds <= boundSeconds * 1.1;
  }

  private long maintenanceMs() {
    FleetSimulation fleet =
        new FleetSimulation(
            scenario.sections(),
            scenario.instances(),
            List.of("m1", "m2", "m3"),
            drainSeconds * 1_000L,
            rebootSeconds * 1_000L);
    fleet.skipTime((scenario.text().maintenance().intervalDays() + 1) * DAY_MS);
    long startEpochMs = fleet.epochMs();
    while (fleet
        .state()
        .instances()
        .values()
        .exists(instance -> instance.maintainedAtEpochMs() < startEpochMs)) {
      if (fleet.nowMs() > DAY_MS) {
        throw new IllegalStateException("the maintenance has not ended within a day");
      }
      fleet.step();
    }
    return fleet.nowMs();
  }

  /**
   * Returns the minimum number of rounds that the availability budgets allow. A pool of n instances
   * of which m must be available needs n / (n - m) rounds, and a service and its dependency cannot
   * be maintained at the same time. If the dependency graph has no odd cycles, the maximum over all
   * pairs of neighbours suffices for the whole graph.
   */
  private int minRounds() {
    FleetText text = scenario.text();
    int most = 1;
    for (ServiceSpec service : text.services().values()) {
      most = Math.max(most, rounds(service));
      for (String dependency : service.dependsOn()) {
        ServiceSpec other = text.services().get(dependency).get();
        if (!other.pool().equals(service.pool())) {
          most = Math.max(most, rounds(service) + rounds(other));
        }
      }
    }
    return most;
  }

  private int rounds(ServiceSpec service) {
    int size = scenario.poolSizes().get(service.pool());
    int maxConcurrent = size - service.minAvailableCount();
    return (size + maxConcurrent - 1) / maxConcurrent;
  }
}
