package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Helpers for the validators of instance records. */
final class Instances {

  private Instances() {}

  static Either<Refusal, InstanceEntry> find(ControlState state, String instance) {
    return state
        .instances()
        .get(instance)
        .toEither(
            () ->
                Refusal.of(
                    ResultCode.INSTANCE_UNKNOWN,
                    "there is no instance %s; it was never added or is removed"
                        .formatted(instance)));
  }

  static ControlState put(ControlState state, InstanceEntry instance) {
    return state.withInstances(state.instances().put(instance.instance(), instance));
  }

  /**
   * Returns {@code after}, or a refusal if the change reduces the available instances of a pool to
   * fewer than its budget. A pool that is already below its budget allows changes that do not
   * reduce it further.
   */
  static Either<Refusal, ControlState> checkBudget(
      ControlState before, ControlState after, String pool) {
    int availableCount = PoolBudget.availableCount(after, pool);
    int minAvailableCount =
        after.text().map(text -> PoolBudget.minAvailableCount(text, pool)).orElse(0);
    if (availableCount < minAvailableCount
        && availableCount < PoolBudget.availableCount(before, pool)) {
      return Either.left(
          Refusal.retryable(
              ResultCode.BUDGET_WOULD_BREAK,
              "pool %s would have %d available instances, and its services need %d; wait until others are back"
                  .formatted(pool, availableCount, minAvailableCount),
              10_000));
    }
    return Either.right(after);
  }
}
