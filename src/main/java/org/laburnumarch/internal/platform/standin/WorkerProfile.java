package org.laburnumarch.internal.platform.standin;

import org.laburnumarch.internal.job.Resources;

/** Where a simulated worker runs, its capacity, and how long it takes to stop a run. */
record WorkerProfile(
    String rack, String dataCentre, Resources capacity, long minStopMs, long maxStopMs) {

  /** Returns how long it takes to stop a run; the same for the same run. */
  long stopMs(String task, long run) {
    return minStopMs + Math.floorMod((task + run).hashCode(), maxStopMs - minStopMs + 1);
  }
}
