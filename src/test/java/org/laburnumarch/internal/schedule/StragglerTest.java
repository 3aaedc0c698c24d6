package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

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
        report.workerClockMs(), report.startedEpochMs(), running, report.ended());
  }
}
