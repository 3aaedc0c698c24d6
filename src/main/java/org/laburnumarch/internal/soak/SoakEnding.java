package org.laburnumarch.internal.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** The last event of a run: a confirmed change of the configuration and the loss of daemons. */
enum SoakEnding implements SoakEvent {
  /** The run ends without an event. */
  NONE {
    @Override
    int killedDaemons(int daemons, Random random) {
      return 0;
    }
  },
  /** Kills all daemons at once and starts them again at once. */
  KILL_ALL {
    @Override
    int killedDaemons(int daemons, Random random) {
      return daemons;
    }
  },
  /** Kills some daemons at once, the owner among them. */
  KILL_SOME {
    @Override
    int killedDaemons(int daemons, Random random) {
      return 1 + random.nextInt(daemons);
    }
  };

  private static final long MIN_DOWN_MS = 500;
  private static final int DOWN_SPREAD_MS = 700;
  private static final long MIN_TRAFFIC_MS = 2_000;
  private static final int TRAFFIC_SPREAD_MS = 4_000;

  abstract int killedDaemons(int daemons, Random random);

  @Override
  public long durationMs(Random random) {
    return MIN_DOWN_MS + random.nextInt(DOWN_SPREAD_MS);
  }

  /** Chooses how long callers go on submitting jobs after the start of the event. */
  long trafficMs(Random random) {
    return MIN_TRAFFIC_MS + random.nextInt(TRAFFIC_SPREAD_MS);
  }

  @Override
  public Runnable inject(SoakFleet fleet, Random random) {
    List<DaemonProcess> others = new ArrayList<>(fleet.daemons());
    DaemonProcess owner = fleet.ownerOrRandom(random);
    others.remove(owner);
    Collections.shuffle(others, random);
    List<DaemonProcess> killed = new ArrayList<>(List.of(owner));
    killed.addAll(others.subList(0, killedDaemons(fleet.daemons().size(), random) - 1));
    // The store confirms the change before this returns.
    ConfigChange.ADD_ROUTES.inject(fleet, random);
    killed.forEach(DaemonProcess::kill);
    return () -> killed.forEach(fleet::start);
  }
}
