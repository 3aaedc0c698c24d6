package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.forecast.DemandForecaster;
import org.laburnumarch.internal.forecast.MoveTimes;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.FleetConfig.CallerLimits;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.ServiceConfig;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.pool.FleetPlan;
import org.laburnumarch.internal.pool.FleetPlanner;
import org.laburnumarch.internal.pool.Machine;
import org.laburnumarch.internal.pool.PoolDemand;

/** Tests how many workers the scheduler wants for its jobs. */
class PoolDemandTest {

  private final Scheduler scheduler = new Scheduler(TestJobs.SETTINGS, 1, 0, false);

  private void listWorkers(int count, long nowMs) {
    List<SimulatedWorker> workers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      workers.add(new SimulatedWorker("w" + i, TestJobs.SERVICE, "r1", 0));
    }
    scheduler.updateWorkerListings(workers.stream().map(SimulatedWorker::listing).toList(), nowMs);
  }

  private PoolDemand demand(long nowMs) {
    return scheduler.demands(nowMs, nowMs).get(TestJobs.SERVICE);
  }

  @Nested
  class AfterATakeover {

    /** Restores jobs that have just arrived, before the list of workers is read. */
    private void inheritFourJobs() {
      for (int i = 0; i < 4; i++) {
        scheduler.restore(
            TestJobs.job("j" + i, 10_000 + i, TestJobs.step(1, 1_000)),
            Optional.empty(),
            10_100,
            10_100);
      }
      listWorkers(4, 10_200);
    }

    @Test
    void shouldNotMeasureArrivalsBeforeTheTakeoverByWorkersOfUnknownSize() {
      scheduler.configure(TestJobs.config(0, 9));
      inheritFourJobs();
      // Four tasks of 500 ms on an eighth of a worker each.
      assertThat(demand(10_200).batchWorkers()).isBetween(0.1, 1.0);
    }

    /** Guards against a new owner that empties the other pools in its first round of planning. */
    @Test
    void shouldNotTakeInstancesOfOtherPoolsForInheritedArrivals() {
      scheduler.configure(twoPools());
      inheritFourJobs();
      List<Machine> machines = new ArrayList<>();
      List<WorkerLoad> loads = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        String pool = i < 4 ? TestJobs.SERVICE : "office";
        machines.add(new Machine("m" + i, pool, Machine.State.UP, "dc", List.of("r1"), "w" + i));
        loads.add(new WorkerLoad("w" + i, pool, true, 0, 0, 0));
      }
      FleetPlanner planner =
          new FleetPlanner(1_500, 2_000, new DemandForecaster(new MoveTimes(1_500, 1_500)));
      planner.onList(machines, 10_200);
      FleetPlan plan =
          planner.plan(
              twoPools(), scheduler.demands(10_200, 10_200), loads, Set.of(), true, 10_200);
      assertThat(plan.cordoned()).isEmpty();
    }

    private FleetConfig twoPools() {
      FleetConfig config = TestJobs.config(0, 9);
      List<ServiceConfig> services = new ArrayList<>(config.services().values());
      services.add(new ServiceConfig("office", true, false, "/health"));
      return new FleetConfig(
          1,
          List.copyOf(config.queues().values()),
          services,
          List.copyOf(config.teams().values()),
          CallerLimits.DEFAULT);
    }
  }

  @Nested
  class WithABacklog {

    @Test
    void shouldNotWantWorkersForStepsWhoseTurnHasNotCome() {
      scheduler.configure(TestJobs.config(0, 9));
      listWorkers(4, 10_000);
      StepSpec narrow = TestJobs.step(1, 1_000);
      StepSpec wide = TestJobs.step(80, 1_000, 0);
      scheduler.restore(TestJobs.job("j", 0, narrow, wide), Optional.empty(), 10_000, 10_000);
      scheduler.decide(10_000, 10_000);
      assertThat(demand(10_000).batchWorkers()).isLessThanOrEqualTo(1.0 / 8);
    }

    @Test
    void shouldNotWantMoreWorkersThanTheTeamsLimitOccupies() {
      scheduler.configure(TestJobs.config(16_000, 9));
      listWorkers(4, 10_000);
      for (int i = 0; i < 20; i++) {
        scheduler.restore(
            TestJobs.job("j" + i, 7_900, TestJobs.step(8, 1_000)),
            Optional.empty(),
            10_000,
            10_000);
      }
      assertThat(demand(10_000).batchWorkers()).isLessThanOrEqualTo(2.0);
    }

    /** Guards against a gang that stands for good since its pool holds only some of its tasks. */
    @Test
    void shouldWantTheWorkersThatAGangNeedsAtOnce() {
      scheduler.configure(TestJobs.config(0, 9));
      listWorkers(1, 10_000);
      // One task of 5 cores fits on a worker of 8, and the job has long been late.
      StepSpec gang = TestJobs.gangStep(4, 5_000);
      scheduler.restore(TestJobs.job("j", 0, gang), Optional.empty(), 90_000, 90_000);
      scheduler.decide(90_000, 90_000);
      assertThat(demand(90_000).gangWorkers()).isEqualTo(4);
    }

    /** Guards against a pool that holds twice the workers of a long-running gang for good. */
    @Test
    void shouldWantTheWorkersOfALongRunningGangOnce() {
      scheduler.configure(TestJobs.config(0, 9));
      listWorkers(4, 10_000);
      StepSpec gang =
          new StepSpec(
              4,
              new Resources(5_000, 1_000, 0),
              0,
              List.of(),
              false,
              true,
              false,
              "",
              "",
              0,
              false,
              true,
              "",
              0,
              false,
              0);
      scheduler.restore(TestJobs.job("j", 0, gang), Optional.empty(), 10_000, 10_000);
      scheduler.decide(10_000, 10_000);
      PoolDemand demand = demand(10_000);
      assertThat(demand.gangWorkers() + demand.longRunningWorkers()).isEqualTo(4);
    }

    /** Guards against a long-running task that stands since its pool is too small for good. */
    @Test
    void shouldWantAWorkerForEachLongRunningTaskOfMoreThanHalfAWorker() {
      scheduler.configure(TestJobs.config(0, 9));
      listWorkers(1, 10_000);
      StepSpec large = StepSpec.ofLongRunningTasks(4, new Resources(5_000, 1_000, 0), "", 0, 0);
      scheduler.restore(TestJobs.job("j", 0, large), Optional.empty(), 10_000, 10_000);
      assertThat(demand(10_000).longRunningWorkers()).isGreaterThanOrEqualTo(4);
    }
  }
}
