package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.runtime.RunTimes;
import org.laburnumarch.internal.runtime.TestSteps;

/** Tests that only what a task itself takes is learnt from its runs. */
class RunTimeLearnerTest {

  private static final double REMOTE_FACTOR = 2;
  private static final StepSpec SPEC = TestSteps.step("image", 500);

  private final RunTimes runTimes = new RunTimes();
  private final RunTimeLearner learner = new RunTimeLearner(runTimes, REMOTE_FACTOR);
  private int run;

  private static Worker worker(String id, String rack) {
    return new Worker(new SimulatedWorker(id, TestJobs.SERVICE, rack, 0).listing());
  }

  private static List<Worker> workers(int count) {
    return IntStream.range(0, count).mapToObj(i -> worker("w" + i, "r1")).toList();
  }

  private Attempt attempt(Worker worker, String checkpoint) {
    JobSpec job = TestJobs.job("j" + run++, 0, SPEC);
    Task task = new Step(new Job(job, 0, false), 0, 0, SPEC).tasks.get(0);
    return new Attempt(task, worker, run, Resources.NONE, checkpoint, 0, 0);
  }

  private void runOn(Worker worker, long ms) {
    Attempt attempt = attempt(worker, "");
    attempt.reportedAtMs = ms - 20;
    learner.onDone(attempt, ms - 500, ms);
  }

  private double expectedMs() {
    return runTimes.predict(TestJobs.QUEUE, SPEC).medianMs();
  }

  /** Guards against run times that depend on where the tasks happened to run. */
  @Test
  void shouldDivideByTheFactorForRemoteData() {
    for (int i = 0; i < 100; i++) {
      runOn(worker("near", "r1"), 1_000);
      runOn(worker("far", "r2"), 2_000);
    }
    assertThat(expectedMs()).isCloseTo(1_000, within(60.0));
  }

  /** Guards against rests of tasks, and runs of unknown beginning, that count as whole runs. */
  @Test
  void shouldLeaveOutPartsOfTasks() {
    for (int i = 0; i < 100; i++) {
      runOn(worker("w", "r1"), 1_000);
    }
    for (int i = 0; i < 100; i++) {
      learner.onDone(attempt(worker("w", "r1"), "checkpoint"), 100, 100);
      Attempt adopted = attempt(worker("w", "r1"), "");
      adopted.isStartUncertain = true;
      adopted.reportedAtMs = 90;
      learner.onDone(adopted, 100, 100);
      Attempt stalled = attempt(worker("w", "r1"), "");
      stalled.isStalled = true;
      stalled.reportedAtMs = 9_000;
      learner.onInterrupted(stalled);
    }
    assertThat(expectedMs()).isCloseTo(1_000, within(60.0));
  }

  /** Guards against a slow worker that makes its tasks look long. */
  @Test
  void shouldDivideBySlownessOfAWorker() {
    List<Worker> workers = workers(5);
    for (int i = 0; i < 500; i++) {
      runOn(workers.get(i % 5), i % 5 == 0 ? 4_000 : 1_000);
    }
    assertThat(expectedMs()).isCloseTo(1_000, within(100.0));
    assertThat(runTimes.predict(TestJobs.QUEUE, SPEC).highMs()).isLessThan(1_500);
  }

  /** Guards against a change of the tasks that is taken for slow workers and never learnt. */
  @Test
  void shouldFollowAChangeOnAllWorkers() {
    List<Worker> workers = workers(20);
    for (int i = 0; i < 560; i++) {
      runOn(workers.get(i % 20), i < 400 ? 1_000 : 2_000);
    }
    assertThat(expectedMs()).isCloseTo(2_000, within(300.0));
  }
}
