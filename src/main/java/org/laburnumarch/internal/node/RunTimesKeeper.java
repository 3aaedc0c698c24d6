package org.laburnumarch.internal.node;

import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.laburnumarch.internal.metrics.Meters;
import org.laburnumarch.internal.runtime.RunTimes;
import org.tinylog.Logger;

/**
 * Passes on to later owners what has been learnt about run times, in one record of the store, and
 * shows how well the predictions are calibrated. A successor without the record starts from the
 * callers' estimates.
 */
final class RunTimesKeeper {

  private static final String NAME = "runtimes";

  /** Shortest interval between two records. */
  private static final long STORE_EVERY_MS = 2_000;

  private static final long LOG_EVERY_MS = 10_000;

  private final RunTimes runTimes;
  private final Meters meters;
  private final Set<String> meteredQueues = new HashSet<>();
  private long storeAtMs;
  private long logAtMs;

  RunTimesKeeper(RunTimes runTimes, Meters meters) {
    this.runTimes = runTimes;
    this.meters = meters;
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
    showCalibration(nowMs);
    return runTimes.hasChanged()
        ? Optional.of(new OwnerState(NAME, runTimes.encode(OwnerState.MAX_BYTES)))
        : Optional.empty();
  }

  private void showCalibration(long nowMs) {
    boolean isLogged = nowMs >= logAtMs && !runTimes.calibrations().isEmpty();
    if (isLogged) {
      logAtMs = nowMs + LOG_EVERY_MS;
    }
    runTimes
        .calibrations()
        .forEach(
            (queue, calibration) -> {
              if (meteredQueues.add(queue)) {
                registerGauge(queue, "0.5", calibration::belowMedian);
                registerGauge(queue, "0.9", calibration::belowHigh);
              }
              if (isLogged) {
                Logger.info(
                    "runtimes: event=calibration queue={} runs={} below50={} below90={}",
                    queue,
                    calibration.runs(),
                    twoDigits(calibration.belowMedian()),
                    twoDigits(calibration.belowHigh()));
              }
            });
  }

  private void registerGauge(String queue, String quantile, Supplier<Number> fraction) {
    meters.registerGauge(
        "run_time_calibration_ratio{queue=\"" + queue + "\",quantile=\"" + quantile + "\"}",
        fraction);
  }

  private static double twoDigits(double fraction) {
    return Math.rint(fraction * 100) / 100;
  }
}
