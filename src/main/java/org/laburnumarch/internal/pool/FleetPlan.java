package org.laburnumarch.internal.pool;

import java.util.List;
import java.util.Set;

/**
 * What to do with instances now.
 *
 * @param orders orders for the machine service
 * @param cordoned workers on which nothing may start
 * @param vacated workers whose lasting tasks are to go elsewhere, as far as budgets allow
 */
public record FleetPlan(List<MachineOrder> orders, Set<String> cordoned, Set<String> vacated) {

  /** Copies the collections. */
  public FleetPlan {
    orders = List.copyOf(orders);
    cordoned = Set.copyOf(cordoned);
    vacated = Set.copyOf(vacated);
  }
}
