package org.laburnumarch.internal.experiment;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.laburnumarch.internal.fleet.MoveBound;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordBody.InstanceAdded;

/** Compares the number of planned moves with a lower bound. */
record MoveMeasurement(FleetScenario scenario, long seed) {
  private static final int RUNS = 50;

  boolean print(PrintStream out) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    boolean isMet = measure("all instances in the spare pool", 1, () -> fleet(null), out);
    isMet &= measure("random pools", RUNS, () -> fleet(random), out);
    isMet &=
        measure(
            "random pools, one data centre out", RUNS, () -> fleetWithoutDataCentre(random), out);
    return isMet;
  }

  private static boolean measure(
      String name, int runs, java.util.function.Supplier<FleetSimulation> start, PrintStream out) {
    int moveCount = 0;
    int minMoveCount = 0;
    for (int run = 0; run < runs; run++) {
      FleetSimulation fleet = start.get();
      ControlState before = fleet.state();
      moveCount += BufferMeasurement.applyPlannedMoves(fleet);
      minMoveCount += MoveBound.minMoves(before, fleet.state());
    }
    out.printf(
        "  moves, %s: %d, lower bound %d (%+.1f%%)%n",
        name,
        moveCount,
        minMoveCount,
        100.0 * (moveCount - minMoveCount) / Math.max(1, minMoveCount));
    return moveCount <= minMoveCount * 1.1;
  }

  private FleetSimulation fleetWithoutDataCentre(UniformRandomProvider random) {
    FleetSimulation fleet = fleet(random);
    int out = random.nextInt(scenario.text().dataCentres().size());
    fleet.append(
        new RecordBody.DataCentreTakenOut(
            scenario.text().dataCentres().keySet().toJavaList().get(out)));
    return fleet;
  }

  private FleetSimulation fleet(UniformRandomProvider random) {
    List<String> pools = new ArrayList<>(scenario.poolSizes().keySet());
    List<InstanceAdded> instances = new ArrayList<>();
    for (int i = 0; i < scenario.size(); i++) {
      String pool =
          random == null
              ? scenario.text().fleet().sparePool()
              : pools.get(random.nextInt(pools.size()));
      instances.add(scenario.instance(i, pool));
    }
    return new FleetSimulation(scenario.sections(), instances, List.of("m"), 1_000, 1_000);
  }
}
