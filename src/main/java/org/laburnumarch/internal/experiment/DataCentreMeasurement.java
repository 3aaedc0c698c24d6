package org.laburnumarch.internal.experiment;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.PoolBudget;
import org.laburnumarch.internal.state.RecordBody;

/** Measures the served load while each data centre is taken out and returned. */
record DataCentreMeasurement(FleetScenario scenario, long seed) {
  private static final int SLOTS_PER_INSTANCE = 8;
  private static final long SETTLE_MS = 60_000;
  private static final long TAKEN_OUT_AT_MS = SETTLE_MS + 5_000;
  private static final long RETURNED_AT_MS = SETTLE_MS + 35_000;
  private static final long END_MS = SETTLE_MS + 70_000;

  /**
   * Result of a run.
   *
   * @param served served load, summed over the steps
   * @param ideal the lesser of demand and available capacity, summed over the steps
   * @param recoveredAfterMs time from the change to the last step below 98% of the ideal
   */
  private record Result(double served, double ideal, long recoveredAfterMs) {}

  boolean print(PrintStream out) {
    boolean isMet = true;
    for (int size : new int[] {scenario.size() + 1, scenario.size()}) {
      Result planned = measureAll(size, true);
      Result baseline = measureAll(size, false);
      out.printf(
          "  data centre out and in, %d instances: %.2f%% of the lesser of demand and available"
              + " capacity, recovered within %d ms; without moves %.2f%%, %d ms%n",
          size,
          100 * planned.served() / planned.ideal(),
          planned.recoveredAfterMs(),
          100 * baseline.served() / baseline.ideal(),
          baseline.recoveredAfterMs());
      isMet &= planned.served() >= 0.98 * planned.ideal() && planned.recoveredAfterMs() <= 2_000;
    }
    return isMet;
  }

  private Result measureAll(int size, boolean isPlanned) {
    double served = 0;
    double ideal = 0;
    long recoveredAfterMs = 0;
    for (String dataCentre : scenario.text().dataCentres().keySet()) {
      Result result = run(size, dataCentre, isPlanned);
      served += result.served();
      ideal += result.ideal();
      recoveredAfterMs = Math.max(recoveredAfterMs, result.recoveredAfterMs());
    }
    return new Result(served, ideal, recoveredAfterMs);
  }

  private Result run(int size, String dataCentre, boolean isPlanned) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    FleetSimulation fleet =
        new FleetSimulation(
            scenario.sections(), scenario.unassigned(size), List.of("m1", "m2"), 1_000, 1_000);
    BufferMeasurement.applyPlannedMoves(fleet);
    if (!isPlanned) {
      fleet.disableMoves();
    }
    double served = 0;
    double ideal = 0;
    long recoveredAfterMs = 0;
    Map<String, Double> demand = new TreeMap<>();
    while (fleet.nowMs() < END_MS) {
      fleet.step();
      if (fleet.nowMs() == TAKEN_OUT_AT_MS) {
        fleet.append(new RecordBody.DataCentreTakenOut(dataCentre));
      } else if (fleet.nowMs() == RETURNED_AT_MS) {
        fleet.append(new RecordBody.DataCentreReturned(dataCentre));
      }
      if (fleet.nowMs() % 1_000 == 0) {
        drawDemand(demand, random);
      }
      if (fleet.nowMs() >= TAKEN_OUT_AT_MS) {
        double stepServed = served(fleet.state(), demand);
        double stepIdeal = ideal(fleet.state(), demand);
        served += stepServed;
        ideal += stepIdeal;
        if (stepServed < 0.98 * stepIdeal) {
          long changeMs = fleet.nowMs() >= RETURNED_AT_MS ? RETURNED_AT_MS : TAKEN_OUT_AT_MS;
          recoveredAfterMs =
              Math.max(recoveredAfterMs, fleet.nowMs() - changeMs + FleetSimulation.STEP_MS);
        }
      }
    }
    return new Result(served, ideal, recoveredAfterMs);
  }

  /** Draws the demand of each pool: 80% to 100% of the load that it is planned for. */
  private void drawDemand(Map<String, Double> demand, UniformRandomProvider random) {
    for (String pool : scenario.poolSizes().keySet()) {
      double fraction = 0.8 + 0.2 * random.nextDouble();
      demand.put(pool, fraction * SLOTS_PER_INSTANCE * FleetScenario.needed(scenario.text(), pool));
    }
  }

  private static double served(ControlState state, Map<String, Double> demand) {
    double served = 0;
    for (var pool : demand.entrySet()) {
      int slots = SLOTS_PER_INSTANCE * PoolBudget.availableCount(state, pool.getKey());
      served += Math.min(pool.getValue(), slots);
    }
    return served;
  }

  private static double ideal(ControlState state, Map<String, Double> demand) {
    int available =
        state.instances().values().count(instance -> PoolBudget.isAvailable(state, instance));
    double totalDemand = demand.values().stream().mapToDouble(Double::doubleValue).sum();
    return Math.min(totalDemand, SLOTS_PER_INSTANCE * available);
  }
}
