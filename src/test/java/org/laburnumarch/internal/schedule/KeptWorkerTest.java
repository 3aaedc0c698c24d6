package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/** Workers that are kept for a long-running task which does not fit anywhere yet. */
class KeptWorkerTest {

  private static final long START_MS = 1_000_000;
  private static final long SHORT_RUN_MS = 900;
  private static final long LONG_RUN_MS = 60_000;

  /** Longest time for which a job may have nothing running while its pool has room. */
  private static final long MAX_STANDING_MS = 3_000;

  /** A step that takes less than half of each of two workers. */
  private static final StepSpec SPREAD =
      StepSpec.ofTasks(2, new Resources(500, 13_000, 0), SHORT_RUN_MS, List.of())
          .withMaxPerWorker(1);

  private final Scheduler scheduler = new Scheduler(TestJobs.SETTINGS, 1, START_MS, false);
  private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
  private long nowMs = START_MS;

  @BeforeEach
  void enrolWorker() {
    scheduler.configure(TestJobs.config(0, 9));
    enrol("w1");
  }

  private void enrol(String id) {
    workers.put(id, new SimulatedWorker(id, TestJobs.SERVICE, "r1", START_MS));
    scheduler.updateWorkerListings(
        workers.values().stream().map(SimulatedWorker::listing).toList(), nowMs);
    scheduler.confirmEnrolment(scheduler.workersToEnrol());
  }

  private static StepSpec longRunning(long memoryMb) {
    return StepSpec.ofLongRunningTasks(1, new Resources(500, memoryMb, 0), "", 0, 0);
  }

  private void accept(String id, StepSpec step) {
    scheduler.accept(TestJobs.job(id, nowMs, step), nowMs);
  }

  /** Returns the jobs of which a task is started. */
  private List<String> startAll(long runMs) {
    scheduler.onOwnershipProven(nowMs);
    for (SimulatedWorker worker : workers.values()) {
      scheduler
          .renewal(worker.id(), nowMs)
          .ifPresent(
              renewal ->
                  scheduler.onReport(worker.id(), worker.renew(renewal, 1, nowMs), nowMs, nowMs));
    }
    List<String> started = new ArrayList<>();
    for (Order order : scheduler.decide(nowMs, nowMs).orders()) {
      if (order instanceof Order.Start start) {
        Behaviour behaviour = new Behaviour(nowMs + runMs, false, Resources.NONE);
        SimulatedWorker worker = workers.get(start.workerId());
        scheduler.onStartReply(start, worker.start(start, 1, behaviour, nowMs), nowMs);
        started.add(start.taskName().substring(0, start.taskName().indexOf('.')));
      }
    }
    return started;
  }

  /** Guards against short tasks that stand for good beside a long-running one without room. */
  @Test
  void shouldNotBeKeptWhereOnlyOtherLongRunningTasksTakeTheRoom() {
    accept("first", longRunning(20_000));
    assertThat(startAll(Long.MAX_VALUE / 2)).containsExactly("first");
    nowMs += 200;
    accept("second", longRunning(20_000));
    accept("short", TestJobs.step(1, 1_000));
    assertThat(startAll(SHORT_RUN_MS)).containsExactly("short");
  }

  /** Guards against a long-running task that short ones keep out of a busy pool. */
  @Test
  void shouldBeKeptWhileShortTasksTakeTheRoom() {
    accept("large", StepSpec.ofTasks(1, new Resources(500, 20_000, 0), SHORT_RUN_MS, List.of()));
    assertThat(startAll(SHORT_RUN_MS)).containsExactly("large");
    nowMs += 200;
    accept("last", longRunning(20_000));
    accept("short", TestJobs.step(1, 1_000));
    assertThat(startAll(SHORT_RUN_MS)).isEmpty();
    nowMs += SHORT_RUN_MS;
    assertThat(startAll(SHORT_RUN_MS)).contains("last");
  }

  /** Guards against a small long-running task that waits behind one without room. */
  @Test
  void shouldStillStartLongRunningTasksThatLeaveEnoughRoom() {
    accept("large", StepSpec.ofTasks(1, new Resources(500, 20_000, 0), SHORT_RUN_MS, List.of()));
    startAll(SHORT_RUN_MS);
    nowMs += 200;
    accept("last", longRunning(20_000));
    accept("small", longRunning(1_000));
    assertThat(startAll(Long.MAX_VALUE / 2)).containsExactly("small");
    nowMs += SHORT_RUN_MS;
    assertThat(startAll(Long.MAX_VALUE / 2)).containsExactly("last");
  }

  /** Guards against short tasks that stand since each long-running step keeps one more worker. */
  @Test
  void shouldBeKeptForSeveralTasksThatFitTogether() {
    enrol("w2");
    StepSpec large = StepSpec.ofTasks(1, new Resources(500, 25_000, 0), SHORT_RUN_MS, List.of());
    accept("large1", large);
    accept("large2", large);
    assertThat(startAll(SHORT_RUN_MS)).hasSize(2);
    nowMs += 200;
    accept("first", longRunning(10_000));
    accept("second", longRunning(10_000));
    accept("short", TestJobs.step(1, 1_000));
    assertThat(startAll(SHORT_RUN_MS)).containsExactly("short");
  }

  /** Guards against short tasks that stand while all workers are kept, more than half empty. */
  @Test
  void shouldLeaveWorkersForShortTasksIfLongRunningTasksWaitForAll() {
    enrol("w2");
    accept("spread", SPREAD);
    assertThat(startAll(SHORT_RUN_MS)).containsExactly("spread", "spread");
    nowMs += 200;
    accept("first", longRunning(20_000));
    accept("second", longRunning(20_000));
    accept("short", TestJobs.step(1, 1_000));
    assertThat(startAll(SHORT_RUN_MS)).containsExactly("short");
  }

  /** Guards against short tasks that stand because workers count that may not take them. */
  @Test
  void shouldLeaveWorkersForShortTasksWhileADataCentreIsOutOfService() {
    enrol("w2");
    accept("spread", SPREAD);
    assertThat(startAll(SHORT_RUN_MS)).containsExactly("spread", "spread");
    nowMs += 200;
    enrolElsewhere("w3", "w4");
    scheduler.setOutOfServiceDataCentres(Set.of("elsewhere"));
    accept("first", longRunning(20_000));
    accept("second", longRunning(20_000));
    accept("short", TestJobs.step(1, 1_000));
    assertThat(startAll(SHORT_RUN_MS)).containsExactly("short");
  }

  private void enrolElsewhere(String... ids) {
    for (String id : ids) {
      workers.put(id, new SimulatedWorker(id, TestJobs.SERVICE, "r1", START_MS));
    }
    Set<String> elsewhere = Set.of(ids);
    scheduler.updateWorkerListings(
        workers.values().stream()
            .map(SimulatedWorker::listing)
            .map(
                it ->
                    elsewhere.contains(it.id())
                        ? new WorkerListing(
                            it.id(),
                            it.service(),
                            it.address(),
                            "elsewhere",
                            it.capacity(),
                            it.labels(),
                            it.isDraining(),
                            it.remainingMs(),
                            it.startedEpochMs())
                        : it)
            .toList(),
        nowMs);
    scheduler.confirmEnrolment(scheduler.workersToEnrol());
  }

  /** Runs the scheduler for the longest time that a job may stand; returns the started jobs. */
  private Set<String> startFor(long durationMs) {
    Set<String> started = new HashSet<>();
    for (long untilMs = nowMs + durationMs; nowMs < untilMs; nowMs += 100) {
      started.addAll(startAll(LONG_RUN_MS));
    }
    return started;
  }

  private static StepSpec longRun(long memoryMb) {
    return StepSpec.ofTasks(1, new Resources(500, memoryMb, 0), LONG_RUN_MS, List.of());
  }

  /** Guards against short tasks that stand beside less than half a worker in use. */
  @Test
  void shouldNotKeepShortTasksWaitingInAPoolOfOneForLongerThanTheyMayStand() {
    accept("large", longRun(13_000));
    assertThat(startAll(LONG_RUN_MS)).containsExactly("large");
    nowMs += 200;
    accept("last", longRunning(20_000));
    accept("short", TestJobs.step(1, 1_000));
    assertThat(startFor(MAX_STANDING_MS)).contains("short");
  }

  /** Guards against a long-running task that stands beside room for two of it. */
  @Test
  void shouldNotKeepLongRunningTasksWithRoomWaitingForLongerThanTheyMayStand() {
    accept("first", longRunning(10_000));
    accept("large", longRun(10_000));
    assertThat(startAll(LONG_RUN_MS)).containsExactly("first", "large");
    nowMs += 200;
    accept("last", longRunning(20_000));
    accept("small", longRunning(5_000));
    assertThat(startFor(MAX_STANDING_MS)).contains("small");
  }
}
