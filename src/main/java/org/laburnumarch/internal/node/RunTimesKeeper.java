package org.laburnumarch.internal.node;

import java.io.IOException;
import java.util.Optional;
import org.laburnumarch.internal.runtime.RunTimes;
import org.tinylog.Logger;

/**
 * Passes on to later owners what has been learnt about run times, in one record of the store. A
 * successor without it starts from the callers' estimates.
 */
final class RunTimesKeeper {

  private static final String NAME = "runtimes";

  /** Shortest interval between two records. */
  private static final long STORE_EVERY_MS = 2_000;

  private final RunTimes runTimes;
  private long storeAtMs;

  RunTimesKeeper(RunTimes runTimes) {
    this.runTimes = runTimes;
  }

  /** Restores the record of an earlier owner, if there is a readable one. */
  void restore(JobStore.Contents contents) {
    byte[] record = contents.states().get(NAME);
    if (record == null) {
      return;
    }
    try {
      runTimes.restore(record);
      Logger.info(
          "runtimes: event=restored bytes={} kinds={}", record.length, runTimes.kindCount());
    } catch (IOException e) {
      Logger.warn("runtimes: event=unreadable bytes={} cause={}", record.length, e.getMessage());
    }
  }

  /** Returns the record to store now; empty if none is due or too little has changed. */
  Optional<OwnerState> stateToStore(long nowMs) {
    if (nowMs < storeAtMs) {
      return Optional.empty();
    }
    storeAtMs = nowMs + STORE_EVERY_MS;
    return runTimes.hasChanged()
        ? Optional.of(new OwnerState(NAME, runTimes.encode(OwnerState.MAX_BYTES)))
        : Optional.empty();
  }
}
