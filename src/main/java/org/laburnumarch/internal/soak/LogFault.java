package org.laburnumarch.internal.soak;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.laburnumarch.internal.platform.StoreClient;

/**
 * An outage of one log that lasts so long that workers have more ends than they list at a time.
 *
 * @param log the log whose calls the store rejects
 * @param other another event that begins during the outage
 */
record LogFault(String log, Optional<SoakEvent> other) implements SoakEvent {

  private static final int MIN_MS = 6_500;
  private static final int MAX_MS = 12_000;

  /** Latest beginning of the other event after that of the outage. */
  private static final int MAX_DELAY_MS = 6_000;

  /** Returns the outages that a run chooses from. */
  static List<SoakEvent> all() {
    return List.of(
        new LogFault(StoreClient.JOB_LOG, Optional.empty()),
        jobLogBeside(IsolatedFault.STOP_OWNERS_WHILE_WORKERS_LEAVE),
        jobLogBeside(SoakFault.KILL_OWNER),
        jobLogBeside(SoakFault.PAUSE_OWNER),
        jobLogBeside(SoakFault.KILL_ALL),
        jobLogBeside(SoakFault.RESTART_WORKERS),
        jobLogBeside(IsolatedFault.CRASH_WORKERS),
        jobLogBeside(IsolatedFault.CUT_WORKERS),
        jobLogBeside(IsolatedFault.LOSE_ANSWERS),
        jobLogBeside(WorkerFault.SPLIT_REPORTS),
        new LogFault(StoreClient.OWNERSHIP_LOG, Optional.empty()),
        new LogFault(
            StoreClient.HANDOVER_LOG, Optional.of(IsolatedFault.STOP_OWNERS_WHILE_WORKERS_LEAVE)),
        new LogFault(StoreClient.WORKER_REGISTRY_LOG, Optional.of(SoakFault.RESTART_WORKERS)));
  }

  private static LogFault jobLogBeside(SoakEvent other) {
    return new LogFault(StoreClient.JOB_LOG, Optional.of(other));
  }

  @Override
  public long durationMs(Random random) {
    return MIN_MS + (long) random.nextInt(MAX_MS - MIN_MS);
  }

  @Override
  public Runnable inject(SoakFleet fleet, Random random) {
    fleet.platform().store().refuseLog(log);
    Random later = new Random(random.nextLong());
    other.ifPresent(
        event -> fleet.after(later.nextInt(MAX_DELAY_MS), () -> begin(event, fleet, later)));
    return () -> fleet.platform().store().serveLog(log);
  }

  private static void begin(SoakEvent event, SoakFleet fleet, Random random) {
    long durationMs = event.durationMs(random);
    Runnable end = event.inject(fleet, random);
    fleet.after(durationMs, end);
  }
}
