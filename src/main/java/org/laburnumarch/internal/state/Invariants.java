package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * Checks the invariants of the state after each record; a record that would violate one is refused.
 */
final class Invariants {

  private Invariants() {}

  /** Returns {@code after}, or a refusal that names the invariant that the change violates. */
  static Either<Refusal, ControlState> check(ControlState before, ControlState after) {
    if (after.textVersion() < before.textVersion()) {
      return RecordValidator.refuse(
          ResultCode.INVARIANT_CONFIGURATION,
          "text version %d would follow version %d; report this fault"
              .formatted(after.textVersion(), before.textVersion()));
    }
    boolean isTextSame = isSame(before.text(), after.text());
    if (!isTextSame || !isSame(before.allowances(), after.allowances())) {
      for (AllowanceEntry entry : after.allowances().values()) {
        if (!isConserved(entry)) {
          return RecordValidator.refuse(
              ResultCode.INVARIANT_UPPER_LIMIT,
              "team %s: unassigned and base units would not add up to the limit of %d; the record is not applied"
                  .formatted(entry.team(), entry.limitUnits()));
        }
      }
    }
    if (!isSame(before.members(), after.members()) && !areSeatsUnique(after)) {
      return RecordValidator.refuse(
          ResultCode.INVARIANT_SEAT, "two members would hold one seat; report this fault");
    }
    if (!isTextSame || !isSame(before.instances(), after.instances())) {
      return checkInstances(after).flatMap(checked -> checkBudgets(before, checked));
    }
    return Either.right(after);
  }

  /**
   * Refuses a planned change that reduces the available instances of a pool to fewer than its
   * budget. Losses and operators' changes are not planned changes: they remove instances, or change
   * the configuration text or a data centre.
   */
  private static Either<Refusal, ControlState> checkBudgets(
      ControlState before, ControlState after) {
    if (!isSame(before.text(), after.text())
        || !isSame(before.dataCentres(), after.dataCentres())
        || after.instances().size() < before.instances().size()) {
      return Either.right(after);
    }
    Map<String, Integer> countsBefore = availableCounts(before);
    Map<String, Integer> countsAfter = availableCounts(after);
    for (var pool : countsBefore.entrySet()) {
      int countAfter = countsAfter.getOrDefault(pool.getKey(), 0);
      if (countAfter < pool.getValue()
          && countAfter < PoolBudget.minAvailableCount(after.text().orElseThrow(), pool.getKey())) {
        return RecordValidator.refuse(
            ResultCode.INVARIANT_BUDGET,
            "the budget of pool %s would break with %d available instances; report this fault"
                .formatted(pool.getKey(), countAfter));
      }
    }
    return Either.right(after);
  }

  private static Map<String, Integer> availableCounts(ControlState state) {
    Map<String, Integer> counts = new TreeMap<>();
    for (InstanceEntry instance : state.instances().values()) {
      if (PoolBudget.isAvailable(state, instance)) {
        counts.merge(instance.pool(), 1, Integer::sum);
      }
    }
    return counts;
  }

  /**
   * Returns whether unassigned and base units add up to the team's limit, so that no unit is
   * missing or counted twice.
   */
  static boolean isConserved(AllowanceEntry entry) {
    long baseUnits = entry.baseUnits().values().foldLeft(0L, (sum, units) -> sum + units);
    return entry.unassignedUnits() >= 0
        && entry.unassignedUnits() + baseUnits == entry.limitUnits();
  }

  private static Either<Refusal, ControlState> checkInstances(ControlState after) {
    for (var instance : after.instances()) {
      if (!instance._1.equals(instance._2.instance())
          || !after.text().map(t -> t.pools().containsKey(instance._2.pool())).orElse(false)) {
        return RecordValidator.refuse(
            ResultCode.INVARIANT_ONE_POOL,
            "instance %s would not be in exactly one pool of the text; report this fault"
                .formatted(instance._1));
      }
    }
    return Either.right(after);
  }

  private static boolean areSeatsUnique(ControlState state) {
    Set<Integer> seats = new HashSet<>();
    return state.members().values().forAll(m -> !m.isSeated() || seats.add(m.seat()));
  }

  private static boolean isSame(Object left, Object right) {
    return left == right;
  }
}
