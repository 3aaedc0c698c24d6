package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
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

    @Test
    void shouldNotMeasureArrivalsBeforeTheTakeoverByWorkersOfUnknownSize() {
      scheduler.configure(TestJobs.config(0, 9));
      for (int i = 0; i < 4; i++) {
        scheduler.restore(
            TestJobs.job("j" + i, 10_000 + i, TestJobs.step(1, 1_000)),
            Optional.empty(),
            10_100,
            10_100);
      }
      listWorkers(4, 10_200);
      // Four tasks of 500 ms on an eighth of a worker each.
      assertThat(demand(10_200).batchWorkers()).isBetween(0.1, 1.0);
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
  }
}
