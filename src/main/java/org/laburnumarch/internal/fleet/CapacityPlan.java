package org.laburnumarch.internal.fleet;

import java.util.List;
import org.laburnumarch.internal.state.RecordBody.InstanceMoved;

/**
 * Moves that reduce the shortfall of the fleet.
 *
 * @param moves in an order in which no step violates an availability budget
 * @param before the shortfall before the moves
 * @param after the shortfall after the moves
 * @param isUrgent whether the moves remedy a shortfall that affects work now
 */
public record CapacityPlan(
    List<InstanceMoved> moves, Shortfall before, Shortfall after, boolean isUrgent) {

  public CapacityPlan {
    moves = List.copyOf(moves);
  }
}
