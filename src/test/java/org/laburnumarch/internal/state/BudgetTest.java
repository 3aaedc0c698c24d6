package org.laburnumarch.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.ResultCode;

class BudgetTest {

  private final ControlLogFixture fixture = ControlLogFixture.withFleet();

  private static RecordBody start(String instance) {
    return new RecordBody.MaintenanceStarted(instance);
  }

  private static RecordBody move(String instance, String from, String to) {
    return new RecordBody.InstanceMoved(instance, from, to);
  }

  private void add(String pool, String dataCentre, String... instances) {
    for (String instance : instances) {
      fixture.addInstance(instance, pool, dataCentre);
    }
  }

  @Nested
  class WhenInstancesMove {

    /** Guards against an instance in two pools. */
    @Test
    void shouldRefuseAMoveFromAPoolThatItHasLeft() {
      add("spare", "north", "i1");
      fixture.accept(move("i1", "spare", "a"));
      fixture.refuse(move("i1", "spare", "b"), ResultCode.INSTANCE_NOT_IN_POOL);
      fixture.refuse(move("i2", "spare", "b"), ResultCode.INSTANCE_UNKNOWN);
      fixture.refuse(move("i1", "a", "c"), ResultCode.UNKNOWN_NAME);
      assertThat(fixture.state().instances().get("i1").get().pool()).isEqualTo("a");
    }

    @Test
    void shouldKeepTheBudgetOfTheSourcePool() {
      add("a", "north", "i1", "i2", "i3");
      fixture.accept(move("i1", "a", "b"));
      fixture.refuse(move("i2", "a", "b"), ResultCode.BUDGET_WOULD_BREAK);
    }

    @Test
    void shouldRefuseDuplicateInstancesAndUnknownPoolsOrDataCentres() {
      add("a", "north", "i1");
      fixture.refuse(
          new RecordBody.InstanceAdded("i1", "b", "north", "r", "x"), ResultCode.DUPLICATE_NAME);
      fixture.refuse(
          new RecordBody.InstanceAdded("i2", "c", "north", "r", "x"), ResultCode.UNKNOWN_NAME);
      fixture.refuse(
          new RecordBody.InstanceAdded("i2", "b", "west", "r", "x"),
          ResultCode.DATA_CENTRE_UNKNOWN);
    }
  }

  @Nested
  class WhenMaintenanceStarts {

    @Test
    void shouldKeepTheBudgetUntilTheInstanceIsHealthy() {
      add("a", "north", "i1", "i2", "i3");
      fixture.accept(start("i1"));
      fixture.refuse(start("i1"), ResultCode.INSTANCE_BUSY);
      fixture.refuse(move("i1", "a", "b"), ResultCode.INSTANCE_BUSY);
      fixture.refuse(start("i2"), ResultCode.BUDGET_WOULD_BREAK);
      fixture.accept(new RecordBody.MaintenanceFinished("i1", false));
      fixture.refuse(start("i2"), ResultCode.BUDGET_WOULD_BREAK);
      fixture.accept(new RecordBody.MaintenanceFinished("i1", true));
      fixture.accept(start("i2"));
    }

    /** Guards against planned maintenance that ignores earlier unplanned losses. */
    @Test
    void shouldCountUnplannedLossesAgainstTheBudget() {
      add("a", "north", "i1", "i2", "i3");
      fixture.accept(new RecordBody.InstanceRemoved("i3"));
      fixture.refuse(start("i2"), ResultCode.BUDGET_WOULD_BREAK);
    }

    /** Guards against simultaneous maintenance of a service and of one that it depends on. */
    @Test
    void shouldNotMaintainAServiceAndItsDependencyTogether() {
      add("a", "north", "a1", "a2", "a3", "a4");
      add("b", "north", "b1", "b2", "b3");
      fixture.accept(start("b1"));
      fixture.refuse(start("a1"), ResultCode.BUDGET_WOULD_BREAK);
      fixture.accept(new RecordBody.MaintenanceFinished("b1", true));
      fixture.accept(start("a1"));
      fixture.refuse(start("b1"), ResultCode.BUDGET_WOULD_BREAK);
    }

    @Test
    void shouldRefuseMaintenanceWhileADataCentreIsOutAndThePoolIsShort() {
      add("a", "north", "a1", "a2", "a3");
      add("a", "south", "a4", "a5");
      fixture.accept(new RecordBody.DataCentreTakenOut("south"));
      fixture.refuse(start("a1"), ResultCode.BUDGET_WOULD_BREAK);
      fixture.accept(start("a4"));
      fixture.accept(new RecordBody.DataCentreReturned("south"));
      fixture.accept(start("a1"));
    }

    @Test
    void shouldTakeADataCentreOutRegardlessOfBudgets() {
      add("a", "north", "a1", "a2", "a3");
      fixture.accept(new RecordBody.DataCentreTakenOut("north"));
      assertThat(PoolBudget.availableCount(fixture.state(), "a")).isZero();
    }
  }

  /**
   * Guards against a sequence of records in which a planned change breaks an availability budget.
   */
  @Property(tries = 60, seed = "12")
  void shouldNeverBreakABudgetByAPlannedChange(@ForAll long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    ControlLogFixture run = ControlLogFixture.withFleet();
    String[] pools = {"a", "b", "spare"};
    String[] dataCentres = {"north", "south"};
    for (int i = 0; i < 12; i++) {
      run.addInstance("i" + i, pools[i % 3], dataCentres[i % 2]);
    }
    for (int step = 0; step < 200; step++) {
      String instance = "i" + random.nextInt(12);
      ControlState before = run.state();
      RecordBody body =
          switch (random.nextInt(8)) {
            case 0 -> new RecordBody.DataCentreTakenOut(dataCentres[random.nextInt(2)]);
            case 1, 2 -> new RecordBody.DataCentreReturned(dataCentres[random.nextInt(2)]);
            case 3, 4 -> new RecordBody.MaintenanceFinished(instance, random.nextInt(4) > 0);
            case 5 -> move(instance, pools[random.nextInt(3)], pools[random.nextInt(3)]);
            default -> start(instance);
          };
      assertThat(run.apply(body).code().number()).isLessThan(1900);
      if (!RecordKind.of(body).isOperatorChange()) {
        for (String pool : pools) {
          int minCount = PoolBudget.minAvailableCount(before.text().orElseThrow(), pool);
          int countBefore = PoolBudget.availableCount(before, pool);
          assertThat(PoolBudget.availableCount(run.state(), pool))
              .isGreaterThanOrEqualTo(Math.min(minCount, countBefore));
        }
      }
    }
  }
}
