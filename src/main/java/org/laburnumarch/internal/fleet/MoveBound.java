package org.laburnumarch.internal.fleet;

import java.util.Iterator;
import java.util.Set;
import org.laburnumarch.internal.state.ControlState;

/** Lower bound of the number of moves between two states, for comparison with plans. */
public final class MoveBound {

  private MoveBound() {}

  /**
   * Returns the minimum number of moves that remedy the shortages that are remedied between two
   * states.
   *
   * <p>A move adds one instance to one pool, so it remedies a shortage of at most one instance of
   * that pool at each level.
   */
  public static int minMoves(ControlState before, ControlState after) {
    FleetCapacity fleetBefore = new FleetCapacity(before, before.text().orElseThrow(), Set.of());
    FleetCapacity fleetAfter = new FleetCapacity(after, after.text().orElseThrow(), Set.of());
    Iterator<PoolCapacity> poolsAfter = fleetAfter.pools().iterator();
    int additions = 0;
    for (PoolCapacity pool : fleetBefore.pools()) {
      PoolCapacity poolAfter = poolsAfter.next();
      additions += minAdditions(fleetBefore, pool, fleetAfter, poolAfter);
    }
    return Math.max(
        additions,
        fleetBefore.totals().mostMissingCount() - fleetAfter.totals().mostMissingCount());
  }

  private static int minAdditions(
      FleetCapacity fleetBefore,
      PoolCapacity pool,
      FleetCapacity fleetAfter,
      PoolCapacity poolAfter) {
    int most = 0;
    for (CapacityLevel level : CapacityLevel.values()) {
      boolean isRemedied =
          fleetBefore.shortCount(pool, level) > 0 && fleetAfter.shortCount(poolAfter, level) == 0;
      int added =
          switch (level) {
            case BUDGET, ORDINARY_LOAD ->
                fleetBefore.shortCount(pool, level) - fleetAfter.shortCount(poolAfter, level);
            case RACK_LOSS -> isRemedied ? pool.minAdditionsForRackLoss() : 0;
            case SHARED_BUFFER -> 0;
            case OWN_BUFFER -> isRemedied ? pool.minAdditionsForDataCentreLoss() : 0;
          };
      most = Math.max(most, added);
    }
    return most;
  }
}
