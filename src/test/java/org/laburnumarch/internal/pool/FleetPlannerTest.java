package org.laburnumarch.internal.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.forecast.DemandForecaster;
import org.laburnumarch.internal.forecast.MoveTimes;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.FleetConfig.CallerLimits;
import org.laburnumarch.internal.job.ServiceConfig;
import org.laburnumarch.internal.schedule.WorkerLoad;

/** Tests which instances are drained, maintained and moved, and in which order. */
class FleetPlannerTest {

  private static final long MOVE_MS = 1_500;
  private static final long MAINTENANCE_MS = 2_000;
  private static final MoveTimes TIMES = new MoveTimes(MOVE_MS, 1_500);
  private static final long WINDOW_MS = TIMES.reactiveHoldMs();
  private static final FleetConfig CONFIG =
      new FleetConfig(
          1,
          List.of(),
          List.of(
              new ServiceConfig("desk", true, false, "/health"),
              new ServiceConfig("office", true, false, "/health"),
              new ServiceConfig("reserve", true, true, "/health")),
          List.of(),
          CallerLimits.DEFAULT);

  private final FleetPlanner planner =
      new FleetPlanner(MOVE_MS, MAINTENANCE_MS, new DemandForecaster(TIMES));
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Map<String, WorkerLoad> loads = new LinkedHashMap<>();
  private long nowMs = 10_000;

  private void add(String name, String pool, int shortRuns, int longRuns, boolean isUsable) {
    machines.put(
        name, new Machine(name, pool, Machine.State.UP, "dc", List.of("a", "r"), "w" + name));
    if (!pool.equals("reserve")) {
      loads.put(
          name, new WorkerLoad("w" + name, pool, isUsable, shortRuns, longRuns, shortRuns / 10.0));
    }
  }

  private FleetPlan plan(double deskWorkers, double officeWorkers) {
    return plan(deskWorkers, officeWorkers, Set.of());
  }

  private FleetPlan plan(double deskWorkers, double officeWorkers, Set<String> outOfService) {
    planner.onList(machines.values(), nowMs);
    return planner.plan(
        CONFIG,
        Map.of(
            "desk", new PoolDemand(deskWorkers, 0, 1),
            "office", new PoolDemand(officeWorkers, 0, 1)),
        new ArrayList<>(loads.values()),
        outOfService,
        true,
        nowMs);
  }

  private static MaintenanceWave wave(int atOnce, String... names) {
    return new MaintenanceWave(1, Set.of(names), 20_000, atOnce);
  }

  @Nested
  class DuringAMaintenanceWave {

    @Test
    void shouldNotExceedTheWavesConcurrencyLimit() {
      for (int i = 0; i < 6; i++) {
        add("m" + i, "desk", 0, 0, true);
      }
      planner.addWave(wave(2, "m0", "m1", "m2", "m3"), nowMs, Set.of());
      assertThat(maintenanceOrders(plan(6, 1))).hasSize(2);
      assertThat(maintenanceOrders(plan(6, 1))).isEmpty();
    }

    @Test
    void shouldCountMaintenanceThatAnEarlierOwnerOrdered() {
      add("m0", "desk", 0, 0, true);
      add("m1", "desk", 0, 0, true);
      machines.put(
          "m1", new Machine("m1", "desk", Machine.State.MAINTENANCE, "dc", List.of("a", "r"), ""));
      loads.remove("m1");
      planner.addWave(wave(1, "m0", "m1"), nowMs, Set.of());
      assertThat(maintenanceOrders(plan(2, 1))).isEmpty();
    }

    @Test
    void shouldDrainAnInstanceBeforeItsMaintenance() {
      add("m0", "desk", 0, 2, true);
      add("m1", "desk", 0, 0, true);
      planner.addWave(wave(2, "m0"), nowMs, Set.of());
      FleetPlan plan = plan(2, 1);
      assertThat(maintenanceOrders(plan)).isEmpty();
      assertThat(plan.cordoned()).contains("wm0");
      assertThat(plan.drained()).contains("wm0");
    }

    /** Guards against long-running tasks that find no worker while their instance is drained. */
    @Test
    void shouldReplaceAnInstanceWithLongRunningTasksBeforeItsMaintenance() {
      add("m0", "desk", 0, 2, true);
      add("m1", "desk", 0, 2, true);
      add("m2", "reserve", 0, 0, true);
      add("m3", "office", 0, 0, true);
      add("m4", "office", 0, 0, true);
      planner.addWave(wave(1, "m0"), nowMs, Set.of());
      assertThat(plan(0, 1).orders()).contains(new MachineOrder.Move("m2", "desk"));
    }

    /** Guards against long-running tasks that end and can start nowhere until the wave goes on. */
    @Test
    void shouldNotCordonTheOnlyWorkerOfAPoolWithLongRunningTasks() {
      add("m0", "desk", 0, 2, true);
      planner.addWave(wave(1, "m0"), nowMs, Set.of());
      assertThat(plan(0, 1).cordoned()).isEmpty();
      add("m1", "desk", 0, 0, true);
      assertThat(plan(0, 1).cordoned()).containsExactly("wm0");
      loads.remove("m1");
      assertThat(plan(0, 1).cordoned()).isEmpty();
    }

    @Test
    void shouldNotCordonTheOnlyWorkerOfSuchAPoolInADataCentreInService() {
      add("m0", "desk", 0, 2, true);
      machines.put(
          "m1", new Machine("m1", "desk", Machine.State.UP, "other", List.of("a", "r"), "wm1"));
      loads.put("m1", new WorkerLoad("wm1", "desk", true, 0, 0, 0));
      planner.addWave(wave(1, "m0"), nowMs, Set.of());
      assertThat(plan(0, 1, Set.of("other")).cordoned()).isEmpty();
      assertThat(plan(0, 1, Set.of()).cordoned()).containsExactly("wm0");
    }

    @Test
    void shouldNotCordonAllWorkersOfAPoolWithLongRunningTasksAtOnce() {
      add("m0", "desk", 0, 2, true);
      add("m1", "desk", 0, 2, true);
      planner.addWave(wave(2, "m0", "m1"), nowMs, Set.of());
      nowMs += 15_000;
      assertThat(plan(4, 1).cordoned()).hasSize(1);
    }

    /** Guards against killing tasks on workers that have not reported to a new owner yet. */
    @Test
    void shouldNotMaintainAnInstanceWhoseWorkerHasNotReported() {
      add("m0", "desk", 0, 0, false);
      add("m1", "desk", 0, 0, true);
      loads.remove("m1");
      planner.addWave(wave(2, "m0", "m1"), nowMs, Set.of());
      assertThat(maintenanceOrders(plan(2, 1))).isEmpty();
    }

    @Test
    void shouldNotRepeatMaintenanceThatHasStarted() {
      add("m0", "desk", 0, 0, true);
      planner.addWave(wave(2, "m0"), nowMs, Set.of("m0"));
      assertThat(maintenanceOrders(plan(1, 1))).isEmpty();
      assertThat(planner.isCompleted(1)).isTrue();
    }

    @Test
    void shouldRepeatAnOrderWhoseResponseWasLost() {
      add("m0", "desk", 0, 0, true);
      add("m1", "desk", 0, 0, true);
      planner.addWave(wave(2, "m0"), nowMs, Set.of());
      MachineOrder order = maintenanceOrders(plan(1, 1)).get(0);
      planner.onOutcome(order, MachineOrderOutcome.UNKNOWN, nowMs);
      assertThat(planner.isCompleted(1)).isFalse();
      nowMs += 500;
      assertThat(maintenanceOrders(plan(1, 1))).containsExactly(order);
    }

    /** Guards against a wave that waits for an instance whose long-running task finds no room. */
    @Test
    void shouldGoOnWithOtherInstancesWhileOneCannotBeDrained() {
      add("m0", "desk", 0, 1, true);
      add("m1", "desk", 1, 0, true);
      add("m2", "desk", 1, 0, true);
      planner.addWave(wave(1, "m0", "m1"), nowMs, Set.of());
      Set<MachineOrder> orders = new HashSet<>();
      for (long endMs = nowMs + 15_000; nowMs < endMs; nowMs += 100) {
        FleetPlan plan = plan(2, 1);
        orders.addAll(maintenanceOrders(plan));
        add("m1", "desk", plan.cordoned().contains("wm1") ? 0 : 1, 0, true);
      }
      assertThat(orders).containsExactly(new MachineOrder.Maintain("m1", 1));
    }

    /**
     * Guards against a wave that never ends while long-running tasks leave their instance one after
     * the other: it gives its place up and gets tasks of the next one.
     */
    @Test
    void shouldMaintainInstancesWhoseLongRunningTasksLeaveOneByOne() {
      Map<String, Integer> longRuns = new LinkedHashMap<>(Map.of("m0", 4, "m1", 4, "m2", 0));
      add("m3", "office", 0, 0, true);
      add("m4", "office", 0, 0, true);
      planner.addWave(wave(1, "m0", "m1"), nowMs, Set.of());
      Set<MachineOrder> orders = new HashSet<>();
      long movedAtMs = nowMs;
      for (long endMs = nowMs + 60_000; nowMs < endMs; nowMs += 100) {
        longRuns.forEach((name, runs) -> add(name, "desk", 0, runs, true));
        FleetPlan plan = plan(2, 1);
        for (MachineOrder order : maintenanceOrders(plan)) {
          orders.add(order);
          planner.onOutcome(order, MachineOrderOutcome.DONE, nowMs);
        }
        Optional<String> from =
            longRuns.keySet().stream()
                .filter(name -> plan.cordoned().contains("w" + name) && longRuns.get(name) > 0)
                .findFirst();
        if (from.isPresent() && nowMs - movedAtMs >= 1_000) {
          // Tasks go to a well-filled worker.
          String to =
              longRuns.keySet().stream()
                  .filter(name -> !plan.cordoned().contains("w" + name))
                  .max(Comparator.comparing(longRuns::get))
                  .orElseThrow();
          longRuns.merge(from.get(), -1, Integer::sum);
          longRuns.merge(to, 1, Integer::sum);
          movedAtMs = nowMs;
        }
      }
      assertThat(orders)
          .containsExactlyInAnyOrder(
              new MachineOrder.Maintain("m0", 1), new MachineOrder.Maintain("m1", 1));
    }

    private List<MachineOrder> maintenanceOrders(FleetPlan plan) {
      return plan.orders().stream().filter(MachineOrder.Maintain.class::isInstance).toList();
    }
  }

  @Nested
  class WhenDemandShifts {

    @Test
    void shouldMoveSpareInstancesToAPoolWithDemand() {
      add("m0", "desk", 0, 0, true);
      add("m1", "office", 0, 0, true);
      for (int i = 2; i < 6; i++) {
        add("m" + i, "reserve", 0, 0, true);
      }
      assertThat(plan(3, 0).orders())
          .filteredOn(MachineOrder.Move.class::isInstance)
          .extracting(order -> ((MachineOrder.Move) order).pool())
          .contains("desk");
    }

    private List<MachineOrder> planForAGang(int gangWorkers) {
      add("m0", "desk", 0, 0, true);
      add("m9", "office", 0, 0, true);
      for (int i = 1; i < 8; i++) {
        add("m" + i, "reserve", 0, 0, true);
      }
      planner.onList(machines.values(), nowMs);
      Map<String, PoolDemand> demands = Map.of("desk", new PoolDemand(0.5, 0.5, 0, 0, gangWorkers));
      return planner
          .plan(CONFIG, demands, new ArrayList<>(loads.values()), Set.of(), true, nowMs)
          .orders();
    }

    /** Guards against a gang that waits for good for a pool too small for all of its tasks. */
    @Test
    void shouldMoveAsManyInstancesAsAGangNeedsAtOnce() {
      assertThat(planForAGang(4)).hasSize(3);
    }

    /** Guards against two gangs of which each waits for good for instances that the other has. */
    @Test
    void shouldGiveOnePoolEnoughInstancesIfTwoGangsTogetherNeedMoreThanThereAre() {
      add("m0", "desk", 0, 0, true);
      add("m1", "office", 0, 0, true);
      for (int i = 2; i < 6; i++) {
        add("m" + i, "reserve", 0, 0, true);
      }
      planner.onList(machines.values(), nowMs);
      PoolDemand gang = new PoolDemand(0.5, 0.5, 0, 0, 4);
      planner.plan(
          CONFIG,
          Map.of("desk", gang, "office", gang),
          new ArrayList<>(loads.values()),
          Set.of(),
          true,
          nowMs);
      assertThat(
              Math.max(
                  planner.projectedSize("desk").getAsInt(),
                  planner.projectedSize("office").getAsInt()))
          .isGreaterThanOrEqualTo(4);
    }

    /** Guards against a gang that waits for as long as gangs of another pool come. */
    @Test
    void shouldGiveEachOfTwoPoolsATurnForItsGangs() {
      Map<String, GangTurns.Claim> claims =
          Map.of("desk", new GangTurns.Claim(1, 4, 4), "office", new GangTurns.Claim(1, 4, 1));
      GangTurns turns = new GangTurns();
      Set<String> chosen = new HashSet<>();
      for (long endMs = nowMs + 30_000; nowMs < endMs; nowMs += 100) {
        List<String> atOnce = turns.choose(claims, 6, nowMs);
        assertThat(atOnce).hasSize(1);
        chosen.addAll(atOnce);
      }
      assertThat(chosen).containsExactlyInAnyOrder("desk", "office");
    }

    @Test
    void shouldMoveNoInstancesForAGangThatIsTooWideForTheWholeFleet() {
      assertThat(planForAGang(10)).isEmpty();
    }

    @Test
    void shouldReturnSurplusOnlyAfterADelay() {
      for (int i = 0; i < 6; i++) {
        add("m" + i, "desk", 0, 0, true);
      }
      add("m6", "office", 0, 0, true);
      add("m7", "office", 0, 0, true);
      assertThat(plan(1, 1).orders()).isEmpty();
      nowMs += WINDOW_MS + 1;
      plan(1, 1);
      nowMs += 2_000;
      assertThat(plan(1, 1).orders())
          .isNotEmpty()
          .allMatch(order -> ((MachineOrder.Move) order).pool().equals("reserve"));
    }

    /** Guards against a pool that shrinks between two peaks and is too small at each of them. */
    @Test
    void shouldKeepEnoughInstancesForTheLastPeakDuringAPause() {
      for (int i = 0; i < 6; i++) {
        add("m" + i, "desk", 0, 0, true);
      }
      plan(4, 1);
      nowMs += WINDOW_MS;
      plan(4, 1);
      nowMs += 12_000;
      plan(0.1, 1);
      nowMs += 2_000;
      assertThat(plan(0.1, 1).orders()).isEmpty();
    }

    /** Guards against emptying a pool that has not received any job yet, and against holding it. */
    @Test
    void shouldReturnInstancesOfAPoolWithUnknownDemandGradually() {
      for (int i = 0; i < 10; i++) {
        add("m" + i, "desk", 0, 0, true);
      }
      add("m10", "office", 0, 0, true);
      add("m11", "office", 0, 0, true);
      plan(0, 0);
      nowMs += WINDOW_MS;
      assertThat(plan(0, 0).cordoned()).isEmpty();
      nowMs += 2 * TIMES.roundTripMs();
      plan(0, 0);
      nowMs += 1_000;
      assertThat(plan(0, 0).cordoned()).hasSize(4);
      nowMs += 20 * TIMES.roundTripMs();
      assertThat(plan(0, 0).cordoned()).hasSize(8);
    }

    @Test
    void shouldNotReturnInstancesWithLongRunningTasks() {
      for (int i = 0; i < 4; i++) {
        add("m" + i, "desk", 0, 1, true);
      }
      // The other pool needs no instance, so only the surplus could cause a move.
      add("m4", "office", 0, 1, true);
      add("m5", "office", 0, 1, true);
      plan(0.1, 0.1);
      nowMs += WINDOW_MS + 1;
      plan(0, 0);
      nowMs += 2_000;
      assertThat(plan(0, 0).cordoned()).isEmpty();
    }
  }

  @Nested
  class WhenInstancesAreScarce {

    private void addAll(int from, int until, String pool, int shortRuns, boolean isUsable) {
      for (int i = from; i < until; i++) {
        add("m" + i, pool, shortRuns, 0, isUsable);
      }
    }

    private List<String> targets(FleetPlan plan) {
      return plan.orders().stream().map(order -> ((MachineOrder.Move) order).pool()).toList();
    }

    /** Guards against pools that keep only instances whose workers are still starting. */
    @Test
    void shouldNotTakeTheUsableWorkersOfAPoolWhoseOtherWorkersAreNotUsable() {
      addAll(0, 3, "office", 0, true);
      addAll(3, 9, "office", 0, false);
      addAll(9, 12, "desk", 0, true);
      assertThat(plan(6, 3).cordoned()).isEmpty();
      addAll(3, 9, "office", 0, true);
      assertThat(plan(6, 3).cordoned()).hasSize(5);
    }

    @Test
    void shouldTakeNothingFromPoolsWhoseWorkersHaveNotReportedToANewOwner() {
      addAll(0, 9, "office", 0, false);
      addAll(9, 10, "desk", 0, false);
      assertThat(plan(20, 0).cordoned()).isEmpty();
    }

    @Test
    void shouldNotReturnTheOnlyUsableWorkerOfAPoolAsSurplus() {
      add("m0", "desk", 0, 0, true);
      addAll(1, 4, "desk", 0, false);
      addAll(4, 6, "office", 0, true);
      plan(0.1, 0.1);
      nowMs += WINDOW_MS + 1;
      plan(0, 0);
      nowMs += 2_000;
      assertThat(plan(0, 0).cordoned()).isEmpty();
    }

    /** Guards against a pool that gets all instances because it lacks most. */
    @Test
    void shouldShareSpareInstancesInProportionToWhatPoolsWant() {
      addAll(0, 1, "desk", 0, true);
      addAll(1, 2, "office", 0, true);
      addAll(2, 14, "reserve", 0, true);
      assertThat(targets(plan(1_000, 5))).filteredOn("office"::equals).hasSizeBetween(3, 5);
    }

    @Test
    void shouldGiveAStarvedPoolInstancesOfOneThatIsLessShort() {
      addAll(0, 18, "desk", 0, true);
      addAll(18, 20, "office", 0, true);
      assertThat(targets(plan(30, 16))).isNotEmpty().containsOnly("office").hasSizeBetween(1, 5);
    }

    @Test
    void shouldNotMoveInstancesBetweenPoolsThatAreAboutEquallyShort() {
      addAll(0, 10, "desk", 0, true);
      addAll(10, 17, "office", 0, true);
      assertThat(plan(12, 14).cordoned()).isEmpty();
    }

    /** Guards against long-running tasks that wait for an instance behind a backlog. */
    @Test
    void shouldBringAPoolWithLongRunningTasksToItsLeastSizeBeforeABacklog() {
      add("m0", "office", 0, 2, true);
      addAll(1, 6, "desk", 1, true);
      planner.onList(machines.values(), nowMs);
      FleetPlan plan =
          planner.plan(
              CONFIG,
              Map.of("desk", new PoolDemand(22, 0, 0), "office", new PoolDemand(0, 0.5, 2)),
              new ArrayList<>(loads.values()),
              Set.of(),
              true,
              nowMs);
      assertThat(plan.cordoned()).hasSize(2).doesNotContain("wm0");
    }

    /** Guards against work that stands beside its own pool's draining instances. */
    @Test
    void shouldCancelAMoveIfItsInstanceIsStillDrainedAndItsPoolNeedsItAgain() {
      addAll(0, 6, "office", 1, true);
      addAll(6, 8, "desk", 0, true);
      assertThat(plan(6, 1).cordoned()).hasSize(4);
      nowMs += 100;
      assertThat(plan(1, 5).cordoned()).isEmpty();
    }

    /**
     * Guards against work of a pool without instances that stands for good: a busy instance whose
     * move was given up was filled again before the next attempt.
     */
    @Test
    void shouldMoveAnInstanceWhoseRunsEndAtDifferentTimes() {
      long runMs = 7_000;
      addAll(0, 4, "office", 2, true);
      Map<String, Queue<Long>> runEndsMs = new LinkedHashMap<>();
      machines
          .keySet()
          .forEach(
              name ->
                  runEndsMs.put(name, new PriorityQueue<>(List.of(nowMs + 1_000, nowMs + 5_000))));
      Set<String> cordoned = Set.of();
      List<MachineOrder> orders = List.of();
      for (long untilMs = nowMs + 60_000; nowMs < untilMs && orders.isEmpty(); nowMs += 100) {
        for (Map.Entry<String, Queue<Long>> runs : runEndsMs.entrySet()) {
          runs.getValue().removeIf(endMs -> endMs <= nowMs);
          while (!cordoned.contains("w" + runs.getKey()) && runs.getValue().size() < 2) {
            runs.getValue().add(nowMs + runMs);
          }
          add(runs.getKey(), "office", runs.getValue().size(), 0, true);
        }
        planner.onList(machines.values(), nowMs);
        FleetPlan plan =
            planner.plan(
                CONFIG,
                Map.of("desk", new PoolDemand(1, 0, 0), "office", new PoolDemand(8, 0, 0)),
                new ArrayList<>(loads.values()),
                Set.of(),
                true,
                nowMs);
        cordoned = plan.cordoned();
        orders = plan.orders();
      }
      assertThat(orders).hasSize(1);
    }

    @Test
    void shouldNotCancelAMoveThatWasOrdered() {
      addAll(0, 6, "office", 0, true);
      addAll(6, 8, "desk", 0, true);
      FleetPlan plan = plan(6, 1);
      assertThat(plan.orders()).hasSize(4);
      plan.orders().forEach(order -> planner.onOutcome(order, MachineOrderOutcome.UNKNOWN, nowMs));
      nowMs += 100;
      assertThat(plan(1, 5).cordoned()).hasSize(4);
    }

    /** Guards against late work that stands because its pool gives its instances away. */
    @Test
    void shouldKeepInstancesForLateWorkThatCanRun() {
      addAll(0, 6, "office", 1, true);
      addAll(6, 8, "desk", 1, true);
      planner.onList(machines.values(), nowMs);
      FleetPlan plan =
          planner.plan(
              CONFIG,
              Map.of(
                  "desk", new PoolDemand(20, 0, 0),
                  "office", new PoolDemand(1.2, 4.2, 0, 0)),
              new ArrayList<>(loads.values()),
              Set.of(),
              true,
              nowMs);
      assertThat(plan.cordoned()).hasSizeLessThanOrEqualTo(1);
    }
  }
}
