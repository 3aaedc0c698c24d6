package org.laburnumarch.internal.node;

import java.io.IOException;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.laburnumarch.internal.forecast.DemandForecaster;
import org.laburnumarch.internal.forecast.MoveTimes;
import org.laburnumarch.internal.forecast.PoolForecast;
import org.laburnumarch.internal.metrics.Meters;
import org.laburnumarch.internal.platform.NodeSettings;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/** Stores and restores the learnt demand for pools and shows it in metrics. Used on one thread. */
final class DemandState {

  /** Least time between two records. */
  private static final long STORE_EVERY_MS = 2_000;

  private final JobStore jobs;
  private final SuspendAwareClock clock;
  private final boolean isSuccessor;
  private final Meters meters;
  private final DemandForecaster forecaster;
  private final Set<String> meteredPools = new HashSet<>();
  private long storedChanges;
  private long storedAtMs;

  /**
   * Creates a state without history.
   *
   * @param isSuccessor whether there was an owner before this one
   */
  DemandState(
      NodeSettings settings,
      JobStore jobs,
      SuspendAwareClock clock,
      boolean isSuccessor,
      Meters meters) {
    this.jobs = jobs;
    this.clock = clock;
    this.isSuccessor = isSuccessor;
    this.meters = meters;
    // A new worker is known one interval of the registry after its start at the latest.
    this.forecaster =
        new DemandForecaster(new MoveTimes(settings.moveMs(), settings.registryWriteIntervalMs()));
  }

  DemandForecaster forecaster() {
    return forecaster;
  }

  /** Restores what the earlier owner has stored, if it can be read. */
  void restore(Map<String, byte[]> states) {
    long nowMs = clock.nowMs();
    byte[] encoded = states.get(DemandForecaster.RECORD_NAME);
    if (encoded != null) {
      try {
        forecaster.restore(encoded, nowMs, clock.epochMs());
        return;
      } catch (IOException e) {
        Logger.warn("machines: event=demand-unreadable cause={}", e.getMessage());
      }
    }
    if (isSuccessor) {
      forecaster.keepInstances(nowMs);
    }
  }

  /** Stores what has been learnt since the last record, at intervals. */
  void store(long nowMs) {
    forecaster.forecasts().keySet().stream()
        .filter(meteredPools::add)
        .forEach(this::registerGauges);
    if (forecaster.changes() != storedChanges && nowMs - storedAtMs >= STORE_EVERY_MS) {
      storedChanges = forecaster.changes();
      storedAtMs = nowMs;
      jobs.storeState(
          new OwnerState(DemandForecaster.RECORD_NAME, forecaster.encode(nowMs, clock.epochMs())));
    }
  }

  private void registerGauges(String pool) {
    registerGauge("pool_wanted_instances", pool, PoolForecast::wanted);
    registerGauge("pool_forecast_instances", pool, PoolForecast::ahead);
    registerGauge("pool_held_instances", pool, PoolForecast::hold);
    registerGauge("pool_forecast_confidence_ratio", pool, PoolForecast::confidence);
    registerGauge(
        "pool_next_peak_ms",
        pool,
        forecast ->
            forecast.nextPeakAtMs().isPresent()
                ? forecast.nextPeakAtMs().getAsLong() - clock.nowMs()
                : Double.NaN);
  }

  private void registerGauge(String name, String pool, ToDoubleFunction<PoolForecast> value) {
    meters.registerGauge(
        name + "{pool=\"" + pool + "\"}",
        () -> value.applyAsDouble(forecaster.forecasts().get(pool)));
  }
}
