package org.laburnumarch.internal.pool;

import java.util.List;
import java.util.Set;

/**
 * The result of one planning round.
 *
 * @param orders moves and maintenance to order from the machine service
 * @param cordoned workers on which no task may be started
 * @param drained workers whose long-running tasks should move to other workers, as far as their
 *     jobs' budgets allow
 */
public record FleetPlan(List<MachineOrder> orders, Set<String> cordoned, Set<String> drained) {

  /** Copies the collections. */
  public FleetPlan {
    orders = List.copyOf(orders);
    cordoned = Set.copyOf(cordoned);
    drained = Set.copyOf(drained);
  }
}
