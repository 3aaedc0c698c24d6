package org.laburnumarch.internal.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Daemons that are replaced at another address, workers that get the address of others, and data
 * centres that workers have to leave.
 */
enum Replacement implements SoakEvent {
  /** Ends a daemon for good and starts another one under its own name and address. */
  REPLACE_DAEMON {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      Optional<DaemonProcess> spare = fleet.spareDaemon();
      if (spare.isEmpty()) {
        return () -> {};
      }
      spare.get().setInService(true);
      DaemonProcess removed =
          random.nextBoolean() ? fleet.ownerOrRandom(random) : fleet.randomDaemon(random);
      removed.setInService(false);
      if (random.nextBoolean()) {
        removed.terminate();
      } else {
        removed.kill();
      }
      return () -> fleet.start(spare.get());
    }
  },
  /** Ends two workers of different pools; those that follow have swapped addresses. */
  SWAP_WORKER_ADDRESSES {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      List<String> pools = new ArrayList<>(fleet.servingPools());
      Collections.shuffle(pools, random);
      fleet.swapWorkers(pools.get(0), pools.get(1), random);
      return () -> {};
    }
  },
  /** Requests that all work leaves a data centre, or takes that back; it may last past the end. */
  EVACUATE_DATA_CENTRE {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      fleet.platform().toggleEvacuation(fleet.firstDataCentre());
      return () -> {};
    }
  }
}
