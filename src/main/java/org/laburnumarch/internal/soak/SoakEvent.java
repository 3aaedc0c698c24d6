package org.laburnumarch.internal.soak;

import java.util.Random;

/** Something that happens to a running fleet during a run. */
interface SoakEvent {

  /** Chooses how long the event lasts. */
  default long durationMs(Random random) {
    return 200L + random.nextInt(4_500);
  }

  /** Begins the event; the returned action ends it. */
  Runnable inject(SoakFleet fleet, Random random);
}
