package org.laburnumarch.internal.state;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.ServiceSpec;

/** Takes an instance out of use for maintenance if all affected availability budgets still hold. */
final class MaintenanceStartedValidator implements RecordValidator<RecordBody.MaintenanceStarted> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.MaintenanceStarted body, RecordContext context) {
    return Instances.find(state, body.instance()).flatMap(instance -> start(state, instance));
  }

  private static Either<Refusal, ControlState> start(ControlState state, InstanceEntry instance) {
    if (instance.health() == InstanceHealth.IN_MAINTENANCE) {
      return RecordValidator.refuse(
          ResultCode.INSTANCE_BUSY,
          "instance %s is in maintenance already".formatted(instance.instance()));
    }
    String pool = instance.pool();
    ControlState after = Instances.put(state, instance.withHealth(InstanceHealth.IN_MAINTENANCE));
    if (!PoolBudget.isAvailable(state, instance)) {
      return Either.right(after);
    }
    return Instances.checkBudget(state, after, pool)
        .flatMap(checked -> checkDependencies(state, checked, pool))
        .flatMap(checked -> checkDataCentres(checked, pool));
  }

  /**
   * Refuses maintenance while an instance of a dependent service or of a dependency is in
   * maintenance, or its maintenance has failed.
   */
  private static Either<Refusal, ControlState> checkDependencies(
      ControlState state, ControlState after, String pool) {
    for (ServiceSpec connected : connectedServices(state.text().orElseThrow(), pool)) {
      if (!connected.pool().equals(pool)
          && PoolBudget.isReducedByMaintenance(state, connected.pool())) {
        return retryLater(
            "service %s is thinned and connected to pool %s by a dependency; wait until its instances are back"
                .formatted(connected.name(), pool));
      }
    }
    return Either.right(after);
  }

  private static Seq<ServiceSpec> connectedServices(FleetText text, String pool) {
    Seq<ServiceSpec> poolServices = PoolBudget.services(text, pool);
    return text.services()
        .values()
        .filter(
            other ->
                poolServices.exists(
                    s ->
                        other.dependsOn().contains(s.name())
                            || s.dependsOn().contains(other.name())))
        .toVector();
  }

  private static Either<Refusal, ControlState> checkDataCentres(ControlState after, String pool) {
    int neededCount = PoolBudget.neededCount(after.text().orElseThrow(), pool);
    if (after.dataCentres().values().exists(DataCentreEntry::isOut)
        && PoolBudget.availableCount(after, pool) < neededCount) {
      return retryLater(
          "pool %s would be short of the %d instances that it needs while a data centre is out; wait until it is back"
              .formatted(pool, neededCount));
    }
    return Either.right(after);
  }

  private static Either<Refusal, ControlState> retryLater(String message) {
    return Either.left(Refusal.retryable(ResultCode.BUDGET_WOULD_BREAK, message, 10_000));
  }
}
