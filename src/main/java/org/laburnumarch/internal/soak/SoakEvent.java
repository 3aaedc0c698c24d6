package org.laburnumarch.internal.soak;

import java.util.Random;

/** Something that happens to a running fleet during a run. */
interface SoakEvent {

  /** Begins the event; the returned action ends it. */
  Runnable inject(SoakFleet fleet, Random random);
}
