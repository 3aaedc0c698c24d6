package org.laburnumarch.internal.state;

import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.ServiceSpec;

/**
 * Availability budgets of pools.
 *
 * <p>Planned and unplanned losses count alike: an instance that is not available is missing,
 * whatever the cause.
 */
public final class PoolBudget {

  private PoolBudget() {}

  /**
   * Returns whether an instance counts as available: it is not in maintenance, its last maintenance
   * has not failed, and its data centre is in service.
   */
  public static boolean isAvailable(ControlState state, InstanceEntry instance) {
    return instance.health().isAvailable()
        && !state.dataCentres().get(instance.dataCentre()).exists(DataCentreEntry::isOut);
  }

  /** Returns how many instances of a pool are available. */
  public static int availableCount(ControlState state, String pool) {
    return state.instances().values().count(i -> i.pool().equals(pool) && isAvailable(state, i));
  }

  /**
   * Returns how many instances of a pool must stay available: the highest minimum of its services.
   */
  public static int minAvailableCount(FleetText text, String pool) {
    return services(text, pool).map(ServiceSpec::minAvailableCount).max().getOrElse(0);
  }

  /** Returns how many instances the services of a pool need in total for their normal load. */
  public static int neededCount(FleetText text, String pool) {
    return services(text, pool).map(ServiceSpec::neededCount).sum().intValue();
  }

  /** Returns whether any instance of a pool is in maintenance, or its maintenance has failed. */
  public static boolean isReducedByMaintenance(ControlState state, String pool) {
    return state
        .instances()
        .values()
        .exists(i -> i.pool().equals(pool) && !i.health().isAvailable());
  }

  static io.vavr.collection.Seq<ServiceSpec> services(FleetText text, String pool) {
    return text.services().values().filter(s -> s.pool().equals(pool)).toVector();
  }
}
