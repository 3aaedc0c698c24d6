package org.laburnumarch.internal.forecast;

import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Forecasts the demand for all pools from what they wanted until now. Meant for pools that peak in
 * turn, and for demand that has no pattern or loses it. The state is kept in the owner's memory,
 * and in the record that {@link #encode} returns. Not thread-safe; no I/O.
 */
public final class DemandForecaster implements PoolForecaster {

  /** Name of the record in which the state goes on to a later owner. */
  public static final String RECORD_NAME = "demand";

  /**
   * Assumed share of right predictions after the first interval. It lets a pool follow two like
   * peaks, until a prediction fails in any pool.
   */
  private static final double INITIAL_PRIOR = 0.65;

  private final MoveTimes times;
  private final Map<String, PoolState> pools = new TreeMap<>();
  private final Map<String, PoolForecast> forecasts = new TreeMap<>();
  private Map<String, LearntDemand.Pool> restored = Map.of();

  /** First predictions that were right, and all predictions that were wrong, in all pools. */
  private HitRecord firstPredictions = HitRecord.NONE;

  private long keepAllUntilMs;
  private long changes;

  /** Creates a forecaster without history. */
  public DemandForecaster(MoveTimes times) {
    this.times = times;
  }

  /**
   * Keeps all instances for the time that a pool without a known recurrence holds them. Meant for a
   * successor that has no record: what is present was chosen with knowledge that it lacks.
   */
  public void keepInstances(long nowMs) {
    keepAllUntilMs = nowMs + times.reactiveHoldMs();
  }

  /**
   * Continues with what an earlier owner has learnt.
   *
   * @throws IOException if the record cannot be read; nothing has changed then
   */
  public void restore(byte[] encoded, long nowMs, long epochMs) throws IOException {
    LearntDemand learnt = LearntDemand.decode(encoded).shifted(nowMs - epochMs);
    firstPredictions = learnt.firstPredictions();
    restored = learnt.pools();
    // What waits is not known completely in the first moments after a takeover.
    keepAllUntilMs = nowMs + times.roundTripMs();
  }

  /** Returns the state, with its times in Unix milliseconds. */
  public byte[] encode(long nowMs, long epochMs) {
    Map<String, LearntDemand.Pool> learnt = new TreeMap<>(restored);
    pools.forEach(
        (name, pool) ->
            learnt.put(
                name,
                new LearntDemand.Pool(
                    pool.recurrence().peaks(),
                    pool.recurrence().errorsMs(),
                    pool.recurrence().record())));
    return new LearntDemand(firstPredictions, learnt).shifted(epochMs - nowMs).encode();
  }

  /** Returns a number that grows whenever the state has changed that {@link #encode} returns. */
  public long changes() {
    return changes;
  }

  @Override
  public PoolForecast update(
      String pool, int wanted, boolean hasBatchDemand, int present, long nowMs) {
    PoolState state = pools.computeIfAbsent(pool, name -> create(name, present, nowMs));
    boolean isFirst =
        state.recurrence().record().equals(HitRecord.NONE)
            && state.recurrence().prediction().isPresent();
    int peaks = state.recurrence().peaks().hashCode();
    state
        .update(wanted, hasBatchDemand, nowMs)
        .ifPresent(
            isHit -> {
              changes++;
              if (isFirst || !isHit) {
                firstPredictions = firstPredictions.plus(isHit);
              }
            });
    if (state.recurrence().peaks().hashCode() != peaks) {
      changes++;
    }
    PoolForecast forecast =
        state.forecast(wanted, present, firstPredictions.rate(INITIAL_PRIOR), nowMs);
    forecasts.put(pool, forecast);
    return forecast;
  }

  private PoolState create(String pool, int present, long nowMs) {
    LearntDemand.Pool learnt = restored.get(pool);
    boolean isKnown = learnt != null && !learnt.peaks().isEmpty();
    long keepMs = isKnown ? times.roundTripMs() : times.reactiveHoldMs();
    long keepUntilMs = Math.max(keepAllUntilMs, nowMs + keepMs);
    PoolState state = new PoolState(times, isKnown ? 0 : present, keepUntilMs);
    if (isKnown) {
      state.restore(learnt.peaks(), learnt.errorsMs(), learnt.record());
    }
    return state;
  }

  /** Returns the newest forecasts by pool. */
  public Map<String, PoolForecast> forecasts() {
    return Map.copyOf(forecasts);
  }

  /** Returns the newest forecasts for the log, with the time until the next peak. */
  public String describe(long nowMs) {
    StringBuilder text = new StringBuilder("forecast={");
    forecasts.forEach(
        (pool, forecast) -> {
          text.append(text.charAt(text.length() - 1) == '{' ? "" : ", ")
              .append(pool)
              .append('=')
              .append(forecast.ahead())
              .append("/hold:")
              .append(forecast.hold());
          forecast
              .nextPeakAtMs()
              .ifPresent(atMs -> text.append("/peak_in_ms:").append(atMs - nowMs));
          text.append(String.format(Locale.ROOT, "/confidence:%.2f", forecast.confidence()));
        });
    return text.append('}').toString();
  }
}
