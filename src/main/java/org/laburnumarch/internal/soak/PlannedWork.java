package org.laburnumarch.internal.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Work that operators plan on a fleet; nothing that was accepted may be lost by it. */
enum PlannedWork implements SoakEvent {
  /** Restarts all daemons, one after the other. */
  RESTART_IN_TURN {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      fleet.restarts().restartAll(1, false, random);
      return () -> {};
    }
  },
  /** Restarts all daemons, two at a time. */
  RESTART_IN_PAIRS {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      fleet.restarts().restartAll(2, false, random);
      return () -> {};
    }
  },
  /** Restarts all daemons, one after the other, with a second SIGTERM for each. */
  RESTART_WITH_SECOND_SIGNAL {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      fleet.restarts().restartAll(1, true, random);
      return () -> {};
    }
  },
  /** Replaces up to a third of the workers at the same time. */
  REPLACE_WORKERS {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      List<String> instances = shuffledInstances(fleet, random);
      for (String instance : instances.subList(0, 1 + random.nextInt(1 + instances.size() / 3))) {
        fleet.replaceWorker(instance, random);
      }
      return () -> {};
    }
  },
  /** Orders the maintenance of up to three instances. */
  MAINTAIN_INSTANCES {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      List<String> instances = shuffledInstances(fleet, random);
      fleet
          .platform()
          .orderMaintenance(
              instances.subList(0, Math.min(instances.size(), 1 + random.nextInt(3))),
              1 + random.nextInt(2));
      return () -> {};
    }
  };

  private static List<String> shuffledInstances(SoakFleet fleet, Random random) {
    List<String> instances = new ArrayList<>(fleet.platform().instancesWithWorker());
    Collections.shuffle(instances, random);
    return instances;
  }
}
