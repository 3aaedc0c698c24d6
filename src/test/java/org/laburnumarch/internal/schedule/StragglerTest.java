package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;
import org.laburnumarch.internal.runtime.RunTimes;

/** Tests that runs which take longer than expected are moved only where that helps. */
class StragglerTest {

  private static final long START_MS = 1_000_000;
  private static final long TERM = 1;

  /** Twelve times the estimate of the test's jobs. */
  private static final long RUN_MS = 6_000;

  /** Guards against a task that is stopped on every worker because its estimate is too low. */
  @Test
  void shouldLetATaskEndThatIsLongEverywhere() {
    long nowMs = START_MS;
    Map<Long, Long> startedAtMs = new HashMap<>();
    Map<String, SimulatedWorker> workers =
        Map.of(
            "w1", new SimulatedWorker("w1", TestJobs.SERVICE, "r1", nowMs),
            "w2", new SimulatedWorker("w2", TestJobs.SERVICE, "r1", nowMs),
            "w3", new SimulatedWorker("w3", TestJobs.SERVICE, "r2", nowMs));
    Scheduler scheduler = new Scheduler(TestJobs.SETTINGS, TERM, nowMs, false);
    scheduler.configure(TestJobs.config(100_000, 2));
    List<WorkerListing> listings = workers.values().stream().map(SimulatedWorker::listing).toList();
    scheduler.updateWorkerListings(listings, nowMs);
    scheduler.confirmEnrolment(scheduler.workersToEnrol());
    scheduler.accept(TestJobs.job("long", nowMs, TestJobs.step(1, 1_000)), nowMs);
    for (; nowMs < START_MS + 10 * RUN_MS; nowMs += 20) {
      long atMs = nowMs;
      for (SimulatedWorker worker : workers.values()) {
        scheduler
            .renewal(worker.id(), atMs)
            .map(renewal -> worker.renew(renewal, TERM, atMs))
            .map(report -> withProgress(report, startedAtMs, atMs))
            .ifPresent(report -> scheduler.onReport(worker.id(), report, atMs, atMs));
      }
      scheduler.onOwnershipProven(atMs);
      for (Order order : scheduler.decide(atMs, atMs).orders()) {
        SimulatedWorker worker = workers.get(order.workerId());
        if (order instanceof Order.Start start) {
          Behaviour behaviour = new Behaviour(atMs + RUN_MS, false, Resources.NONE);
          startedAtMs.put(start.run(), atMs);
          scheduler.onStartReply(start, worker.start(start, TERM, behaviour, atMs), atMs);
        } else if (order instanceof Order.Stop stop) {
          scheduler.onStopReply(stop, worker.stop(stop, TERM, atMs), atMs);
        }
      }
      scheduler.takeChanges().ifPresent(changes -> scheduler.confirmStored(changes, atMs));
    }
    assertThat(scheduler.status("long")).contains(JobStatus.COMPLETED);
  }

  /**
   * Guards against a slow worker that is not found because its kinds have long tails, and against
   * single long tasks that are stopped.
   */
  @Test
  void shouldStopSlowRunsOnlyWhereMostAreSlow() {
    RunTimes runTimes = new RunTimes();
    StepSpec spec = TestJobs.step(1, 1_000);
    for (int i = 0; i < 500; i++) {
      runTimes.learn(TestJobs.QUEUE, spec, i % 30 == 0 ? 7_000 : 1_000);
    }
    StragglerDetector detector = new StragglerDetector(runTimes, new RunTimeLearner(runTimes, 2));
    assertThat(stoppedRuns(detector, spec, 5, 5)).isEqualTo(5);
    assertThat(stoppedRuns(detector, spec, 1, 5)).isZero();
  }

  /** Guards against a change of the tasks that makes the system stop them on every worker. */
  @Test
  void shouldNotStopRunsThatAreSlowEverywhere() {
    RunTimes runTimes = new RunTimes();
    StepSpec spec = TestJobs.step(1, 1_000);
    for (int i = 0; i < 500; i++) {
      runTimes.learn(TestJobs.QUEUE, spec, 1_300);
    }
    StragglerDetector detector = new StragglerDetector(runTimes, new RunTimeLearner(runTimes, 2));
    // Until many runs are seen to be slow, each worker with slow runs counts as a slow one.
    long stopped = 0;
    for (int worker = 0; worker < 200; worker++) {
      stopped += stoppedRuns(detector, spec, 5, 5);
    }
    assertThat(stopped).isLessThan(5 * 40);
    assertThat(stoppedRuns(detector, spec, 5, 5)).isZero();
  }

  /** Returns how many runs of a worker are stopped if some of them are four times too slow. */
  private static long stoppedRuns(
      StragglerDetector detector, StepSpec spec, int slowRuns, int runs) {
    Worker worker = new Worker(new SimulatedWorker("w", TestJobs.SERVICE, "r1", 0).listing());
    for (int i = 0; i < runs; i++) {
      Step step = new Step(new Job(TestJobs.job("j" + i, 0, spec), 0, false), 0, 0, spec);
      Attempt attempt = new Attempt(step.tasks.get(0), worker, 1, spec.need(), "", 0, 0);
      attempt.phase = Attempt.Phase.RUNNING;
      step.tasks.get(0).attempt = attempt;
      attempt.percent = i < slowRuns ? 23 : 92;
      attempt.percentChangedAtMs = 920;
      attempt.reportedAtMs = 940;
      worker.add(attempt);
    }
    detector.check(worker, 940);
    return worker.attempts.values().stream().filter(attempt -> attempt.isStopWanted()).count();
  }

  private static WorkerReport withProgress(
      WorkerReport report, Map<Long, Long> startedAtMs, long nowMs) {
    List<RunningTask> running =
        report.running().stream()
            .map(
                run -> {
                  long percent = (nowMs - startedAtMs.get(run.run())) * 100 / RUN_MS;
                  return new RunningTask(
                      run.taskName(), run.run(), run.checkpoint(), (int) percent, run.load());
                })
            .toList();
    return new WorkerReport(
        report.workerClockMs(), report.startedEpochMs(), running, report.ended(), true);
  }
}
