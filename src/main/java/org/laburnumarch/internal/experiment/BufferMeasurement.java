package org.laburnumarch.internal.experiment;

import java.io.PrintStream;
import java.util.List;
import java.util.Set;
import org.laburnumarch.internal.fleet.CapacityPlanner;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.PoolBudget;
import org.laburnumarch.internal.state.RecordBody;

/**
 * Finds the smallest fleet with which the planner restores the needed capacity after the loss of
 * any data centre.
 */
record BufferMeasurement(FleetScenario scenario) {
  private static final int MAX_MOVES = 10_000;

  boolean print(PrintStream out) {
    int needed = scenario.neededCount();
    int dataCentreCount = scenario.text().dataCentres().size();
    int bound = FleetScenario.minSizeFor(needed, dataCentreCount) - needed;
    int planned = smallestFleet() - needed;
    out.printf(
        "  buffer: %d instances in addition to %d; lower bound %d (%+.1f%%); a separate buffer"
            + " for each pool %d (%+.1f%%)%n",
        planned,
        needed,
        bound,
        percentAbove(planned, bound),
        scenario.size() - needed,
        percentAbove(scenario.size() - needed, bound));
    return planned <= bound * 1.05;
  }

  private static double percentAbove(int value, int bound) {
    return 100.0 * (value - bound) / bound;
  }

  private int smallestFleet() {
    int count = scenario.neededCount();
    while (!survives(count)) {
      count++;
    }
    return count;
  }

  private boolean survives(int count) {
    FleetSimulation fleet =
        new FleetSimulation(
            scenario.sections(), scenario.unassigned(count), List.of("m"), 1_000, 1_000);
    applyPlannedMoves(fleet);
    for (String dataCentre : scenario.text().dataCentres().keySet()) {
      fleet.append(new RecordBody.DataCentreTakenOut(dataCentre));
      applyPlannedMoves(fleet);
      if (!isServed(fleet.state())) {
        return false;
      }
      fleet.append(new RecordBody.DataCentreReturned(dataCentre));
      applyPlannedMoves(fleet);
    }
    return true;
  }

  /** Applies planned moves until the planner returns none, and returns their number. */
  static int applyPlannedMoves(FleetSimulation fleet) {
    int moveCount = 0;
    while (moveCount < MAX_MOVES) {
      var moves = new CapacityPlanner().plan(fleet.state(), Set.of(), MAX_MOVES, MAX_MOVES).moves();
      if (moves.isEmpty()) {
        break;
      }
      for (var move : moves) {
        if (fleet.append(move).refusal().isPresent()) {
          throw new IllegalStateException("a planned move was refused: " + move);
        }
        moveCount++;
      }
    }
    return moveCount;
  }

  private boolean isServed(ControlState state) {
    for (String pool : scenario.poolSizes().keySet()) {
      if (PoolBudget.availableCount(state, pool) < FleetScenario.needed(scenario.text(), pool)) {
        return false;
      }
    }
    return true;
  }
}
