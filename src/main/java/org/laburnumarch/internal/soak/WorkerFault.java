package org.laburnumarch.internal.soak;

import java.util.Random;

/** Faults of workers that run on threads of their own. */
enum WorkerFault implements SoakEvent {
  /**
   * Makes reports state the time at which they are written, some time after their lists were read.
   */
  SLOW_REPORTS {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      fleet.platform().setReportsSlow(true);
      return () -> fleet.platform().setReportsSlow(false);
    }
  },
  /**
   * Makes workers read their running tasks some time after their ended runs, so that a run that
   * ends in between is in neither list of a report.
   */
  SPLIT_REPORTS {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      fleet.platform().setReportsSplit(true);
      return () -> fleet.platform().setReportsSplit(false);
    }
  }
}
