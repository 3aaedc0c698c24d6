package org.laburnumarch.internal.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.DataCentreEntry;
import org.laburnumarch.internal.state.InstanceEntry;
import org.laburnumarch.internal.state.InstanceHealth;
import org.laburnumarch.internal.state.PoolBudget;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.spi.ListedInstance;

class FleetRunsTest {
  private static final long DAY_MS = 24 * 60 * 60 * 1_000L;

  private static FleetScenario scenario(String fleetName) {
    try {
      return FleetScenario.of(Files.readString(Path.of("examples", fleetName + ".ini")));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns daemons that manage an example fleet; the first was replaced while it was paused. */
  private static FleetSimulation fleet(FleetScenario scenario) {
    return new FleetSimulation(
        scenario.sections(), scenario.instances(), List.of("m1", "m1", "m2"), 3_000, 10_000);
  }

  private static void run(FleetSimulation fleet, long ms) {
    for (long endMs = fleet.nowMs() + ms; fleet.nowMs() < endMs; ) {
      fleet.step();
    }
  }

  private static List<RecordBody> recordsOf(
      FleetSimulation fleet, Class<? extends RecordBody> type, long ms) {
    List<RecordBody> records = new ArrayList<>();
    fleet.observe(
        applied -> {
          if (type.isInstance(applied.body())) {
            records.add(applied.body());
          }
        });
    run(fleet, ms);
    return records;
  }

  private static Set<String> dataCentresInMaintenance(ControlState state) {
    return state
        .instances()
        .values()
        .filter(instance -> instance.health() == InstanceHealth.IN_MAINTENANCE)
        .map(InstanceEntry::dataCentre)
        .toJavaSet();
  }

  private static void assertServed(FleetScenario scenario, ControlState state) {
    for (String pool : scenario.poolSizes().keySet()) {
      assertThat(PoolBudget.availableCount(state, pool))
          .as("available in %s", pool)
          .isGreaterThanOrEqualTo(FleetScenario.needed(scenario.text(), pool));
    }
  }

  @Nested
  class WhenADataCentreIsOut {

    /** Guards against pools that stay short while the spare pool has instances. */
    @Test
    void shouldServeTheOrdinaryLoadFromTheSparePoolWithinTwoSeconds() {
      FleetScenario scenario = scenario("hinokuni");
      for (String dataCentre : scenario.text().dataCentres().keySet()) {
        FleetSimulation fleet =
            new FleetSimulation(
                scenario.sections(),
                scenario.unassigned(scenario.size()),
                List.of("m1"),
                3_000,
                10_000);
        run(fleet, 60_000);
        fleet.append(new RecordBody.DataCentreTakenOut(dataCentre));
        run(fleet, 2_000);
        assertServed(scenario, fleet.state());
      }
    }

    /** Guards against maintenance that starts while a data centre is out. */
    @Test
    void shouldStartNoMaintenance() {
      FleetSimulation fleet = fleet(scenario("puthenveettil"));
      fleet.append(new RecordBody.DataCentreTakenOut("kollam"));
      fleet.skipTime(25 * DAY_MS);
      assertThat(recordsOf(fleet, RecordBody.MaintenanceStarted.class, 60_000)).isEmpty();
    }
  }

  @Nested
  class WhenPoolsAreShort {

    /** Guards against many moves at once that are not urgent, and against moves proposed twice. */
    @Test
    void shouldLimitMovesThatAreNotUrgent() {
      FleetScenario scenario = scenario("puthenveettil");
      FleetSimulation fleet =
          new FleetSimulation(
              scenario.sections(),
              scenario.unassigned(scenario.size()),
              List.of("m1"),
              3_000,
              10_000);
      List<String> refusals = new ArrayList<>();
      List<Long> movedAtMs = new ArrayList<>();
      fleet.observe(
          applied -> {
            applied.result().refusal().ifPresent(refusal -> refusals.add(refusal.message()));
            if (applied.body() instanceof RecordBody.InstanceMoved) {
              movedAtMs.add(fleet.nowMs());
            }
          });
      run(fleet, 30_000);
      assertThat(refusals).isEmpty();
      List<Long> laterMovesAtMs = movedAtMs.stream().filter(ms -> ms > movedAtMs.get(0)).toList();
      assertThat(laterMovesAtMs).hasSizeGreaterThan(4);
      for (long startMs : laterMovesAtMs) {
        assertThat(laterMovesAtMs.stream().filter(ms -> ms >= startMs && ms < startMs + 1_000))
            .hasSizeLessThanOrEqualTo(2);
      }
    }

    /** Guards against moves while the instances of a new fleet are still being added. */
    @Test
    void shouldWaitWhileInstancesAreBeingAdded() {
      FleetScenario scenario = scenario("hinokuni");
      FleetSimulation fleet =
          new FleetSimulation(scenario.sections(), List.of(), List.of("m1"), 3_000, 10_000);
      for (RecordBody.InstanceAdded instance : scenario.instances()) {
        fleet.add(instance);
        assertThat(recordsOf(fleet, RecordBody.InstanceMoved.class, 1_000)).isEmpty();
      }
    }
  }

  @Nested
  class WhenInstanceListsAreWrong {

    /** Guards against moves caused by a faulty list. */
    @Test
    void shouldMoveNothingForAListThatLacksHalfOfTheFleet() {
      FleetSimulation fleet = fleet(scenario("hinokuni"));
      // While a data centre is out, moves do not wait for the settling time.
      fleet.append(new RecordBody.DataCentreTakenOut("kyushu-south"));
      run(fleet, 60_000);
      fleet.distortLists(list -> list.subList(0, list.size() / 2));
      assertThat(recordsOf(fleet, RecordBody.InstanceMoved.class, 4_000)).isEmpty();
      fleet.distortLists(list -> list);
      assertThat(recordsOf(fleet, RecordBody.InstanceMoved.class, 60_000)).isEmpty();
    }
  }

  @Nested
  class WhenMaintenanceIsDue {

    /**
     * Guards against instances that no wave includes, and against waves that validation refuses.
     */
    @Test
    void shouldMaintainEveryInstanceOnce() {
      FleetSimulation fleet = fleet(scenario("puthenveettil"));
      fleet.skipTime(25 * DAY_MS);
      long dueEpochMs = fleet.epochMs();
      List<String> refusals = new ArrayList<>();
      Set<String> maintained = new HashSet<>();
      fleet.observe(
          applied -> {
            if (applied.body() instanceof RecordBody.MaintenanceStarted started) {
              applied
                  .result()
                  .refusal()
                  .ifPresentOrElse(
                      refusal -> refusals.add(refusal.code().name()),
                      () -> assertThat(maintained.add(started.instance())).isTrue());
              assertThat(dataCentresInMaintenance(applied.after())).hasSizeLessThanOrEqualTo(1);
            }
          });
      run(fleet, 10 * 60_000);
      assertThat(fleet.state().instances().values())
          .allMatch(instance -> instance.maintainedAtEpochMs() >= dueEpochMs);
      // Two daemons with the same id propose the same starts; only the second ones may be refused.
      assertThat(refusals).containsOnly("INSTANCE_BUSY");
    }

    /**
     * Guards against maintenance that ignores losses which the instance list shows but the control
     * state does not contain yet.
     */
    @Test
    void shouldCountLossesThatTheListShows() {
      FleetScenario scenario = scenario("puthenveettil");
      FleetSimulation fleet = fleet(scenario);
      fleet.disableMoves();
      scenario.instances().stream()
          .filter(instance -> instance.pool().equals("assignments"))
          .limit(3)
          .forEach(instance -> fleet.removeFromPlatform(instance.instance()));
      run(fleet, 30_000);
      fleet.skipTime(25 * DAY_MS);
      int budget = PoolBudget.minAvailableCount(scenario.text(), "assignments");
      Set<Integer> counts = new HashSet<>();
      fleet.observe(
          applied -> counts.add(PoolBudget.availableCount(applied.after(), "assignments") - 3));
      run(fleet, 120_000);
      assertThat(counts).contains(budget).allMatch(count -> count >= budget);
    }

    /** Guards against maintenance that goes on from rack to rack although every reboot fails. */
    @Test
    void shouldStopWhenRebootsFail() {
      FleetScenario scenario = scenario("puthenveettil");
      FleetSimulation fleet = fleet(scenario);
      scenario.instances().forEach(instance -> fleet.failReboot(instance.instance()));
      fleet.skipTime(25 * DAY_MS);
      run(fleet, 10 * 60_000);
      var failed =
          fleet
              .state()
              .instances()
              .values()
              .filter(instance -> instance.health() == InstanceHealth.FAILED);
      assertThat(failed).isNotEmpty();
      assertThat(failed.map(InstanceEntry::dataCentre).distinct()).as("waves").hasSize(1);
    }

    /** Guards against maintenance of the whole fleet on one day, and against missed intervals. */
    @Test
    void shouldSpreadMaintenanceOverTheInterval() {
      FleetSimulation fleet = fleet(scenario("hinokuni"));
      int busyDays = 0;
      for (int day = 0; day < 21; day++) {
        fleet.skipTime(DAY_MS);
        busyDays +=
            recordsOf(fleet, RecordBody.MaintenanceFinished.class, 120_000).isEmpty() ? 0 : 1;
        long nowEpochMs = fleet.epochMs();
        assertThat(fleet.state().instances().values())
            .allMatch(instance -> nowEpochMs - instance.maintainedAtEpochMs() <= 21 * DAY_MS);
      }
      assertThat(busyDays).isGreaterThanOrEqualTo(6);
    }
  }

  /**
   * Guards against steps that violate a budget, instances in two pools, endless moves and pools
   * that stay short, under losses, wrong lists, crashes and races between daemons.
   */
  @Property(tries = 12, seed = "7")
  void shouldKeepBudgetsAndRestoreCapacity(@ForAll long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    FleetScenario scenario = scenario(random.nextBoolean() ? "hinokuni" : "puthenveettil");
    FleetSimulation fleet = fleet(scenario);
    fleet.skipTime(25 * DAY_MS);
    fleet.observe(applied -> assertVoluntaryStepKeepsBudgets(scenario, applied));
    for (int step = 0; step < 1_500; step++) {
      fleet.step();
      if (random.nextInt(50) == 0) {
        injectFault(fleet, scenario, random);
      }
    }
    removeFaults(fleet, scenario);
    run(fleet, 180_000);
    assertServed(scenario, fleet.state());
    assertThat(recordsOf(fleet, RecordBody.InstanceMoved.class, 60_000))
        .as("moves after recovery")
        .isEmpty();
  }

  private static void assertVoluntaryStepKeepsBudgets(
      FleetScenario scenario, FleetSimulation.Applied applied) {
    assertThat(applied.result().code().number()).as("invariants").isLessThan(1_900);
    if (!(applied.body() instanceof RecordBody.InstanceMoved)
        && !(applied.body() instanceof RecordBody.MaintenanceStarted)) {
      return;
    }
    for (String pool : scenario.poolSizes().keySet()) {
      int before = PoolBudget.availableCount(applied.before(), pool);
      int budget = PoolBudget.minAvailableCount(scenario.text(), pool);
      assertThat(PoolBudget.availableCount(applied.after(), pool))
          .as("budget of %s", pool)
          .isGreaterThanOrEqualTo(Math.min(before, budget));
    }
    assertThat(applied.after().instances().values().map(InstanceEntry::pool))
        .allMatch(pool -> scenario.poolSizes().containsKey(pool));
  }

  private static void injectFault(
      FleetSimulation fleet, FleetScenario scenario, UniformRandomProvider random) {
    List<String> dataCentres = scenario.text().dataCentres().keySet().toJavaList();
    String dataCentre = dataCentres.get(random.nextInt(dataCentres.size()));
    List<InstanceEntry> instances = fleet.state().instances().values().toJavaList();
    InstanceEntry instance = instances.get(random.nextInt(instances.size()));
    switch (random.nextInt(9)) {
      case 0, 1 -> fleet.append(new RecordBody.DataCentreTakenOut(dataCentre));
      case 2, 3 -> fleet.append(new RecordBody.DataCentreReturned(dataCentre));
      case 4 -> fleet.failReboot(instance.instance());
      case 5 -> fleet.restartDaemon(random.nextInt(3));
      case 6 -> fleet.distortLists(list -> List.of());
      case 7 -> fleet.distortLists(list -> without(list, instance.rack()));
      default -> fleet.distortLists(list -> list);
    }
  }

  private static List<ListedInstance> without(List<ListedInstance> list, String rack) {
    return list.stream().filter(instance -> !instance.rack().equals(rack)).toList();
  }

  private static void removeFaults(FleetSimulation fleet, FleetScenario scenario) {
    fleet.distortLists(list -> list);
    for (DataCentreEntry entry : fleet.state().dataCentres().values()) {
      if (entry.isOut()) {
        fleet.append(new RecordBody.DataCentreReturned(entry.dataCentre()));
      }
    }
    for (InstanceEntry instance : fleet.state().instances().values()) {
      if (instance.health() == InstanceHealth.FAILED) {
        // The platform replaces instances that do not return from a reboot.
        fleet.append(new RecordBody.InstanceRemoved(instance.instance()));
        fleet.add(
            scenario.instance(Integer.parseInt(instance.instance().substring(1)), instance.pool()));
      }
    }
  }
}
