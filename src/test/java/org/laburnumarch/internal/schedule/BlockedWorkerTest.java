package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/** Tests for how long workers get no tasks because runs have failed there. */
class BlockedWorkerTest {

  private static final long STEP_MS = 50;

  /** Longest time for which a job may have nothing running while its pool has room. */
  private static final long MAX_DELAY_MS = 3_000;

  private long nowMs = 1_000_000;
  private Scheduler scheduler = new Scheduler(TestJobs.SETTINGS, 1, nowMs, false);
  private long term = 1;
  private final List<JobSpec> jobs = new ArrayList<>();
  private final List<SimulatedWorker> workers = new ArrayList<>();
  private final Map<String, Long> startedAtMs = new HashMap<>();
  private final Map<String, Integer> startsByWorker = new HashMap<>();
  private Predicate<Order.Start> failing = start -> false;
  private long runMs = 100;

  @BeforeEach
  void configure() {
    scheduler.configure(TestJobs.config(0, 3));
  }

  private void addWorkers(int count) {
    for (int i = 0; i < count; i++) {
      workers.add(new SimulatedWorker("w" + i, TestJobs.SERVICE, "r", nowMs));
    }
    listWorkers();
  }

  private void listWorkers() {
    scheduler.updateWorkerListings(workers.stream().map(SimulatedWorker::listing).toList(), nowMs);
    scheduler.confirmEnrolment(scheduler.workersToEnrol());
  }

  private void accept(String id, StepSpec step) {
    JobSpec job = TestJobs.job(id, nowMs, step);
    jobs.add(job);
    scheduler.accept(job, nowMs);
  }

  /** Replaces the owner by one that knows none of the runs. */
  private void takeOver() {
    scheduler = new Scheduler(TestJobs.SETTINGS, ++term, nowMs, true);
    configure();
    listWorkers();
    jobs.forEach(job -> scheduler.restore(job, Optional.empty(), nowMs, nowMs));
  }

  private void advance(long durationMs) {
    for (long untilMs = nowMs + durationMs; nowMs < untilMs; nowMs += STEP_MS) {
      workers.forEach(this::report);
      scheduler.takeChanges().ifPresent(changes -> scheduler.confirmStored(changes, nowMs));
      scheduler.onOwnershipProven(nowMs);
      for (Order order : scheduler.decide(nowMs, nowMs).orders()) {
        if (order instanceof Order.Start start) {
          deliver(start);
        }
      }
    }
  }

  private void report(SimulatedWorker worker) {
    scheduler
        .renewal(worker.id(), nowMs)
        .ifPresent(
            renewal ->
                scheduler.onReport(worker.id(), worker.renew(renewal, term, nowMs), nowMs, nowMs));
  }

  private void deliver(Order.Start start) {
    startedAtMs.putIfAbsent(start.taskName(), nowMs);
    startsByWorker.merge(start.workerId(), 1, Integer::sum);
    SimulatedWorker worker =
        workers.stream()
            .filter(candidate -> candidate.id().equals(start.workerId()))
            .findFirst()
            .orElseThrow();
    Behaviour behaviour = new Behaviour(nowMs + runMs, failing.test(start), Resources.NONE);
    scheduler.onStartReply(start, worker.start(start, term, behaviour, nowMs), nowMs);
  }

  private List<String> runningTasks() {
    return workers.stream().flatMap(worker -> worker.runningTasks().stream()).toList();
  }

  @Nested
  class AfterATakeover {

    @Test
    void shouldNotCountOnlyTheFailuresAmongTheEndsOfEarlierRuns() {
      addWorkers(1);
      failing = start -> start.taskName().endsWith(".7");
      for (int i = 0; i < 4; i++) {
        accept("a" + i, TestJobs.step(8, 100));
      }
      advance(400);
      nowMs += 1_000;
      takeOver();
      accept("next", TestJobs.step(1, 100));
      long acceptedAtMs = nowMs;
      advance(14_000);
      assertThat(startedAtMs.get("next.0.0.0") - acceptedAtMs).isLessThan(500);
    }
  }

  @Nested
  class WhenLongRunningTasksFail {

    @Test
    void shouldNotKeepThemFromStartingAgainAfterTheyHaveBeenAtWork() {
      addWorkers(2);
      runMs = 5_000;
      failing = start -> true;
      for (int i = 0; i < 3; i++) {
        accept("a" + i, TestJobs.longRunningStep(1, 0, 1));
        advance(1_000);
      }
      long waitingSinceMs = nowMs;
      long maxWaitMs = 0;
      for (long endMs = nowMs + 60_000; nowMs < endMs; ) {
        advance(STEP_MS);
        if (runningTasks().size() == 3) {
          waitingSinceMs = nowMs;
        }
        maxWaitMs = Math.max(maxWaitMs, nowMs - waitingSinceMs);
      }
      assertThat(maxWaitMs).isLessThan(1_000);
    }
  }

  @Nested
  class WhenJobsFailOnEveryWorker {

    @Test
    void shouldNotDelayOtherJobsInAnEmptyPool() {
      addWorkers(2);
      failing = start -> start.taskName().startsWith("bad");
      for (int i = 0; i < 12; i++) {
        accept("bad" + i, TestJobs.step(1, 1_000));
        advance(500);
      }
      accept("sound", TestJobs.step(1, 1_000));
      long acceptedAtMs = nowMs;
      advance(12_000);
      assertThat(startedAtMs.get("sound.0.0.0") - acceptedAtMs).isLessThan(MAX_DELAY_MS);
    }
  }

  @Nested
  class WhenAWorkerFailsAllRuns {

    @Test
    void shouldStartFewTasksThereAlthoughThePoolIsFull() {
      addWorkers(2);
      runMs = 200;
      failing = start -> start.workerId().equals("w0");
      for (int i = 0; i < 40; i++) {
        accept("a" + i, TestJobs.step(8, 1_000));
      }
      advance(20_000);
      assertThat(startsByWorker.get("w0")).isLessThanOrEqualTo(8 + 20_000 / 1_500);
    }
  }

  @Nested
  class WhenAFewRunsFailAmongMany {

    @Test
    void shouldStartTasksThereAgainOnceOtherRunsHaveSucceeded() {
      addWorkers(1);
      failing = start -> start.taskName().startsWith("bad");
      accept("bad1", TestJobs.step(1, 100));
      accept("bad2", TestJobs.step(1, 100));
      advance(STEP_MS);
      runMs = 400;
      accept("sound", TestJobs.step(8, 100));
      advance(800);
      accept("next", TestJobs.step(1, 100));
      long acceptedAtMs = nowMs;
      advance(3_000);
      assertThat(startedAtMs.get("next.0.0.0") - acceptedAtMs).isLessThan(200);
    }
  }
}
