package org.laburnumarch.internal.forecast;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.forecast.PoolSimulation.Demand;
import org.laburnumarch.internal.forecast.PoolSimulation.Result;

/** Compares the forecast with the rule that holds what was needed in the last 20 s. */
class PoolSimulationTest {

  private static final long SEED = Long.getLong("seed", 5);
  private static final double MEAN = 8;

  private final Random random = new Random(SEED);

  /** The earlier rule: no forecast, and all instances for the first 20 s of demand. */
  private static final class ReactiveForecaster implements PoolForecaster {
    private static final long WINDOW_MS = 20_000;
    private final Map<String, RecentDemand> demands = new HashMap<>();
    private final Map<String, Long> sinceMs = new HashMap<>();

    @Override
    public PoolForecast update(
        String pool, int wanted, boolean hasBatchDemand, int present, long nowMs) {
      if (hasBatchDemand) {
        sinceMs.putIfAbsent(pool, nowMs);
      }
      RecentDemand demand = demands.computeIfAbsent(pool, name -> new RecentDemand(WINDOW_MS));
      demand.record(wanted, nowMs);
      boolean isNew = !sinceMs.containsKey(pool) || nowMs - sinceMs.get(pool) < WINDOW_MS;
      int hold = Math.max(wanted, isNew ? present : demand.max());
      return new PoolForecast(wanted, wanted, wanted, hold, OptionalLong.empty(), 0);
    }
  }

  /** A time of higher demand. */
  private record Burst(double startMs, double endMs, double workers) {}

  private static Demand bursts(Map<Integer, List<Burst>> bursts, double base) {
    return (pool, atMs) ->
        bursts.getOrDefault(pool, List.of()).stream()
            .filter(burst -> atMs >= burst.startMs && atMs < burst.endMs)
            .mapToDouble(Burst::workers)
            .max()
            .orElse(base);
  }

  /** Pools that peak one after the other; jitter is a part of the period and of the level. */
  private Demand alternating(int pools, double periodMs, int periods, double jitter, double drift) {
    Map<Integer, List<Burst>> bursts = new HashMap<>();
    for (int pool = 0; pool < pools; pool++) {
      double startMs = pool * periodMs / pools;
      for (int i = 0; i < periods; i++) {
        double shiftMs = jitter * periodMs * (random.nextDouble() - 0.5);
        double level = 5 * MEAN * (1 + jitter * (2 * random.nextDouble() - 1));
        bursts
            .computeIfAbsent(pool, key -> new ArrayList<>())
            .add(
                new Burst(
                    Math.max(0, startMs + shiftMs), startMs + shiftMs + periodMs / pools, level));
        startMs += periodMs * Math.pow(1 + drift, i);
      }
    }
    return bursts(bursts, MEAN / 20);
  }

  private Demand aperiodic(double meanGapMs, long untilMs) {
    Map<Integer, List<Burst>> bursts = new HashMap<>();
    for (int pool = 0; pool < 4; pool++) {
      double atMs = 0;
      while (atMs < untilMs) {
        atMs += -Math.log(1 - random.nextDouble()) * meanGapMs;
        double lengthMs = 1_000 + 5_000 * random.nextDouble();
        double workers = MEAN * (2 + 4 * random.nextDouble());
        bursts
            .computeIfAbsent(pool, key -> new ArrayList<>())
            .add(new Burst(atMs, atMs + lengthMs, workers));
        atMs += lengthMs;
      }
    }
    return bursts(bursts, MEAN / 20);
  }

  /** The results of both rules in a part of a run. */
  private record Comparison(Result old, Result learnt) {}

  private static Comparison compare(
      String name, int spares, Demand demand, long fromMs, long untilMs) {
    Result[] results = new Result[2];
    PoolForecaster[] rules = {new ReactiveForecaster(), new DemandForecaster(PoolSimulation.TIMES)};
    for (int i = 0; i < 2; i++) {
      PoolSimulation simulation = new PoolSimulation(4, 40, spares, demand, rules[i]);
      simulation.runUntil(fromMs);
      results[i] = simulation.runUntil(untilMs);
    }
    System.out.printf(
        "%-34s seed=%d short old=%.0f new=%.0f held old=%.0f new=%.0f%n",
        name,
        SEED,
        results[0].shortS(),
        results[1].shortS(),
        results[0].heldS(),
        results[1].heldS());
    return new Comparison(results[0], results[1]);
  }

  @Nested
  class ComparedWithTheReactiveRule {

    @Test
    void shouldHoldFewerInstancesWhilePoolsPeakInTurn() {
      for (double periodMs : new double[] {12_000, 16_000, 20_000, 27_000}) {
        Demand demand = alternating(4, periodMs, 10, 0, 0);
        Comparison result =
            compare("alternating", 40, demand, (long) (2 * periodMs), (long) (9 * periodMs));
        assertThat(result.learnt().shortS()).isLessThanOrEqualTo(result.old().shortS());
        assertThat(result.learnt().heldS()).isLessThan(0.85 * result.old().heldS());
      }
    }

    /** Guards against a pool that is late whenever its peaks come a little early. */
    @Test
    void shouldFollowPeaksThatJitterOrDrift() {
      Demand jittering = alternating(4, 16_000, 12, 0.2, 0);
      Comparison result = compare("20% jitter", 40, jittering, 32_000, 190_000);
      double workS = 4 * MEAN * 158;
      assertThat(result.learnt().shortS()).isLessThan(result.old().shortS() + 0.02 * workS);
      assertThat(result.learnt().heldS()).isLessThan(0.97 * result.old().heldS());
      Comparison drifting =
          compare("5% drift", 40, alternating(4, 18_000, 12, 0, 0.05), 36_000, 180_000);
      assertThat(drifting.learnt().shortS()).isLessThan(0.005 * workS);
      assertThat(drifting.learnt().heldS()).isLessThan(0.85 * drifting.old().heldS());
    }

    /** Guards against single jobs between the peaks that are taken for peaks. */
    @Test
    void shouldFollowPeaksAmongSingleJobs() {
      Demand peaks = alternating(4, 16_000, 12, 0.05, 0);
      Demand jobs = aperiodic(3_000, 190_000);
      Comparison result =
          compare(
              "single jobs between peaks",
              40,
              (pool, atMs) -> Math.max(peaks.workers(pool, atMs), jobs.workers(pool, atMs) / 9),
              32_000,
              190_000);
      assertThat(result.learnt().shortS()).isLessThan(0.01 * 4 * MEAN * 158);
      assertThat(result.learnt().heldS()).isLessThan(0.85 * result.old().heldS());
    }

    /** Guards against acting on a recurrence that is not there or has ended. */
    @Test
    void shouldBeNoWorseWithoutARecurrence() {
      Map<String, Demand> demands = new LinkedHashMap<>();
      demands.put("constant", (pool, atMs) -> 25);
      demands.put("noise", (pool, atMs) -> 25 + 8 * Math.sin(atMs * 0.017 + pool));
      demands.put("one burst", bursts(Map.of(1, List.of(new Burst(30_000, 34_000, 60))), 5));
      demands.put("recurrence that stops", alternating(4, 16_000, 6, 0, 0));
      demands.forEach(
          (name, demand) -> assertNoWorse(compare(name, 40, demand, 20_000, 180_000), 1.03));
      Result old = new Result(0, 0);
      Result learnt = new Result(0, 0);
      for (double meanGapMs : new double[] {5_000, 10_000, 15_000, 30_000}) {
        Comparison result =
            compare("aperiodic", 40, aperiodic(meanGapMs, 600_000), 20_000, 600_000);
        old = old.plus(result.old());
        learnt = learnt.plus(result.learnt());
      }
      assertNoWorse(new Comparison(old, learnt), 1.03);
    }

    @Test
    void shouldBeNoWorseIfThePoolsWantMoreThanTheFleet() {
      Demand demand = (pool, atMs) -> 3 * alternatingFixed(pool, atMs);
      assertNoWorse(compare("more than the fleet", 0, demand, 32_000, 180_000), 1);
    }

    /** Guards against pools that are held for the whole day, or emptied before their first peak. */
    @Test
    void shouldReleaseInstancesOfUnknownUseGradually() {
      Comparison unused = compare("no demand", 40, (pool, atMs) -> 0, 0, 120_000);
      assertThat(unused.learnt().heldS()).isLessThan(0.5 * unused.old().heldS());
      Demand demand = (pool, atMs) -> alternatingFixed(pool, atMs + 2_000);
      Comparison first = compare("day that begins in a peak", 40, demand, 0, 30_000);
      assertThat(first.learnt().shortS()).isLessThan(0.1 * 4 * MEAN * 30);
      Comparison rest = compare("the rest of that day", 40, demand, 34_000, 180_000);
      assertThat(rest.learnt().shortS()).isZero();
    }

    private void assertNoWorse(Comparison result, double factor) {
      // A tenth of an instance for the whole run is within the noise of the order of moves.
      assertThat(result.learnt().shortS()).isLessThanOrEqualTo(factor * result.old().shortS() + 16);
      assertThat(result.learnt().heldS()).isLessThanOrEqualTo(factor * result.old().heldS());
    }
  }

  private static double alternatingFixed(int pool, long atMs) {
    return atMs / 4_000 % 4 == pool ? 40 : 0.4;
  }

  @Nested
  class AfterATakeover {
    private static final long EPOCH_MS = 7_000_000_000L;

    private final DemandForecaster forecaster = new DemandForecaster(PoolSimulation.TIMES);
    private final PoolSimulation simulation =
        new PoolSimulation(4, 40, 40, PoolSimulationTest::alternatingFixed, forecaster);
    private final DemandForecaster successor = new DemandForecaster(PoolSimulation.TIMES);

    @Test
    void shouldContinueWithTheStoredRecord() throws IOException {
      simulation.runUntil(90_000);
      byte[] record = forecaster.encode(simulation.nowMs(), EPOCH_MS);
      successor.restore(record, simulation.nowMs(), EPOCH_MS);
      simulation.replaceOwner(successor);
      Result result = simulation.runUntil(122_000);
      assertThat(result.shortS()).isZero();
      assertThat(result.heldS()).isLessThan(160 * 32 * 0.95);
    }

    /** Guards against a successor without the record that releases what it knows nothing of. */
    @Test
    void shouldKeepInstancesWithoutTheRecord() {
      simulation.runUntil(90_000);
      successor.keepInstances(simulation.nowMs());
      simulation.replaceOwner(successor);
      assertThat(simulation.runUntil(90_000 + 15_000).heldS()).isGreaterThan(80 * 15);
    }

    @Test
    void shouldRefuseAnUnreadableRecord() {
      assertThatThrownBy(() -> successor.restore(new byte[] {1, 2, 3}, 0, 0))
          .isInstanceOf(IOException.class);
    }

    @Test
    void shouldStayBelowTheLargestRecord() {
      for (int round = 0; round < 30; round++) {
        for (int pool = 0; pool < 300; pool++) {
          forecaster.update(
              "a-pool-with-a-name-" + pool, round % 6 == 0 ? 90 : 1, true, 90, round * 5_000L);
        }
      }
      assertThat(forecaster.encode(200_000, EPOCH_MS)).hasSizeBetween(10_000, 16_384);
    }
  }
}
