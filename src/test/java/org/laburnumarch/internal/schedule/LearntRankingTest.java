package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.QueueConfig;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.pool.PoolDemand;
import org.laburnumarch.internal.runtime.RunTimes;
import org.laburnumarch.internal.runtime.TestSteps;

/** Tests that the order of work and the demand follow what has been learnt. */
class LearntRankingTest {

  private static final Resources WORKER_SIZE = new Resources(8_000, 32_000, 0);
  private static final FleetConfig CONFIG = TestJobs.config(100_000, 2);

  private final RunTimes runTimes = new RunTimes();
  private final CandidateRanking ranking = new CandidateRanking(runTimes);

  private static StepSpec step(String image) {
    return TestSteps.step(image, 500);
  }

  private CandidateRanking.Candidate candidate(String image, long nowMs) {
    QueueConfig queue = CONFIG.queue(TestJobs.QUEUE).orElseThrow();
    Step step = new Step(job(image), 0, 0, step(image));
    return ranking.candidate(step, List.of(step), queue, nowMs, nowMs);
  }

  private static Job job(String image) {
    Job job = new Job(TestJobs.job(image, 0, step(image)), 0, false);
    job.addDueOccurrences(0);
    return job;
  }

  private double batchWorkers(String image) {
    Function<String, Optional<Resources>> size = service -> Optional.of(WORKER_SIZE);
    Map<String, PoolDemand> demands =
        new DemandEstimator(ranking, runTimes).demands(List.of(job(image)), CONFIG, size, 0, 0);
    return demands.get(TestJobs.SERVICE).batchWorkers();
  }

  /** Guards against two kinds of one queue that share one correction of their estimates. */
  @Test
  void shouldTellKindsOfOneQueueApart() {
    double deadlineWithoutEvidenceAtMs = candidate("long", 0).deadlineAtMs();
    assertThat(deadlineWithoutEvidenceAtMs).isEqualTo(1.6 * 500 + 600);
    double demandWithoutEvidence = batchWorkers("long");
    for (int i = 0; i < 300; i++) {
      runTimes.learn(TestJobs.QUEUE, step("long"), 2_000);
      runTimes.learn(TestJobs.QUEUE, step("short"), 200);
    }
    assertThat(candidate("long", 0).deadlineAtMs()).isBetween(3_500.0, 4_000.0);
    assertThat(candidate("short", 0).deadlineAtMs()).isBetween(900.0, 960.0);
    // After 1.2 s, the long job can still be in time and the short one cannot.
    assertThat(candidate("long", 1_200).rank()).isEqualTo(CandidateRanking.Rank.IN_TIME);
    assertThat(candidate("short", 1_200).rank()).isEqualTo(CandidateRanking.Rank.LATE);
    assertThat(batchWorkers("long")).isGreaterThan(1.3 * demandWithoutEvidence);
  }
}
