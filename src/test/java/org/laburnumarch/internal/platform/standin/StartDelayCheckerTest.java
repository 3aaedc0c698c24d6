package org.laburnumarch.internal.platform.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.schedule.EndKind;
import org.laburnumarch.internal.schedule.EndedTask;
import org.laburnumarch.internal.schedule.Order;
import org.laburnumarch.internal.time.SuspendAwareClock;

/** Tests which waits for a start are reported as lost work. */
class StartDelayCheckerTest {

  private static final String JOB = "00000000000000a1";
  private static final String TASK = JOB + ".0.0.0";
  private static final String SERVICE = "desk";
  private static final String QUEUE = "holds";
  private static final Resources NEED = new Resources(5_000, 1_000, 0);

  private final SuspendAwareClock clock = new SuspendAwareClock();
  private final InvariantChecker invariants = new InvariantChecker(clock, line -> {});
  private final StartDelayChecker delays = new StartDelayChecker(invariants);
  private final SimulatedWorker worker = new SimulatedWorker("w1", SERVICE, "r1", 0);
  private final List<SimulatedWorker> roomForTwo =
      List.of(worker, new SimulatedWorker("w2", SERVICE, "r2", 0));
  private final List<SimulatedWorker> fourWorkers =
      List.of(
          worker,
          roomForTwo.get(1),
          new SimulatedWorker("w3", SERVICE, "r3", 0),
          new SimulatedWorker("w4", SERVICE, "r4", 0));
  private long nowMs;

  @BeforeEach
  void readClock() {
    nowMs = clock.nowMs();
  }

  private void accept(StepSpec step) {
    invariants.onSubmit(
        new JobSpec(JOB, QUEUE, "banks", "program", List.of(step), 0, 0, 0, 0), SERVICE);
    invariants.onAccepted(JOB);
  }

  private void fill(SimulatedWorker filled, long cpuMillis) {
    fill(filled, "00000000000000b2.0.0.0", cpuMillis);
  }

  private void fill(SimulatedWorker filled, String task, long cpuMillis) {
    filled.start(
        new Order.Start(filled.id(), task, 1, "program", 9_000, "", ""),
        1,
        new SimulatedWorker.Behaviour(
            Long.MAX_VALUE / 2, false, new Resources(cpuMillis, 1_000, 0)),
        0);
  }

  private void waitFor(long durationMs, List<SimulatedWorker> workers) {
    long endMs = nowMs + durationMs;
    for (; nowMs <= endMs; nowMs += 100) {
      delays.check(workers, nowMs);
    }
  }

  @Nested
  class AJobOfWhichNothingRuns {

    @BeforeEach
    void accepted() {
      accept(StepSpec.ofTasks(1, NEED, 100, List.of()));
    }

    /** Guards against a check that misses work which waits although there is room. */
    @Test
    void shouldBeReportedOnceAfterThreeSeconds() {
      waitFor(3_000, roomForTwo);
      assertThat(invariants.breaches()).isEmpty();
      waitFor(2_000, roomForTwo);
      assertThat(invariants.breaches()).singleElement().asString().contains("LOST", JOB);
    }

    /** Guards against reports of work for which the pool has room only once. */
    @Test
    void shouldNotBeReportedWithoutRoomForItTwice() {
      SimulatedWorker ofAnotherPool = new SimulatedWorker("w3", "yard", "r1", 0);
      waitFor(9_000, List.of(worker, ofAnotherPool));
      assertThat(invariants.breaches()).isEmpty();
    }

    /** Guards against reports of jobs that queue behind others in a pool that is half full. */
    @Test
    void shouldNotBeReportedWhileHalfOfThePoolIsInUse() {
      fill(worker, 8_000);
      fill(roomForTwo.get(1), 8_000);
      waitFor(9_000, fourWorkers);
      assertThat(invariants.breaches()).isEmpty();
    }

    /** Guards against a check that takes a pool for full because of a few tasks. */
    @Test
    void shouldBeReportedWhileLessThanHalfOfThePoolIsInUse() {
      fill(worker, 8_000);
      fill(roomForTwo.get(1), 7_900);
      waitFor(3_500, fourWorkers);
      assertThat(invariants.breaches()).singleElement().asString().contains("LOST", JOB);
    }

    /** Guards against a check that counts the use of other pools. */
    @Test
    void shouldBeReportedWhileOtherPoolsAreFull() {
      SimulatedWorker ofAnotherPool = new SimulatedWorker("w5", "yard", "r1", 0);
      fill(ofAnotherPool, 8_000);
      waitFor(3_500, List.of(ofAnotherPool, worker, roomForTwo.get(1)));
      assertThat(invariants.breaches()).singleElement().asString().contains("LOST", JOB);
    }

    /** Guards against reports of waits that began before the machine ran out of processor time. */
    @Test
    void shouldBeReportedThreeSecondsAfterARestartOfTheCheck() {
      waitFor(2_500, roomForTwo);
      delays.restart();
      waitFor(2_500, roomForTwo);
      assertThat(invariants.breaches()).isEmpty();
      waitFor(1_000, roomForTwo);
      assertThat(invariants.breaches()).hasSize(1);
    }
  }

  @Nested
  class ATaskWithAWorkerOfItsOwn {

    @BeforeEach
    void accepted() {
      accept(StepSpec.ofLongRunningTasks(2, new Resources(500, 1_000, 0), "", 1, 0));
    }

    /** Guards against reports of tasks that may run on one worker only. */
    @Test
    void shouldNotBeReportedWhereOtherTasksOfItsStepRun() {
      fill(worker, JOB + ".0.0.1", 500);
      waitFor(9_000, roomForTwo);
      assertThat(invariants.breaches()).isEmpty();
    }

    /** Guards against a check that leaves out workers with tasks of other jobs. */
    @Test
    void shouldBeReportedWhereTasksOfOtherJobsRun() {
      fill(worker, 500);
      waitFor(3_500, roomForTwo);
      assertThat(invariants.breaches()).hasSize(2).allMatch(line -> line.contains("LOST"));
    }
  }

  @Nested
  class AJobWhoseQueueChanges {

    private final OperatorConfig config =
        OperatorConfig.of(PlatformLayout.small(Map.of(SERVICE, 2)));

    @BeforeEach
    void accepted() {
      invariants.onConfigWritten(config);
      accept(StepSpec.ofTasks(1, NEED, 100, List.of()));
    }

    /** Guards against reports of work that has no pool. */
    @Test
    void shouldNotBeReportedWithoutARoute() {
      invariants.onConfigWritten(config.withoutQueues(QUEUE::equals));
      waitFor(9_000, roomForTwo);
      assertThat(invariants.breaches()).isEmpty();
    }

    /** Guards against a check that takes the pool before a change for the only one. */
    @Test
    void shouldRunInEachPoolOfItsQueueButInNoOther() {
      invariants.onConfigWritten(config.with(config.queue(QUEUE).orElseThrow().inPool("yard")));
      invariants.onStart(new SimulatedWorker("w3", "yard", "r1", 0), TASK, 1);
      assertThat(invariants.breaches()).isEmpty();
      invariants.onStart(new SimulatedWorker("w4", "reserve", "r1", 0), JOB + ".0.0.0", 2);
      assertThat(invariants.breaches()).anyMatch(breach -> breach.contains("ROUTE"));
    }

    /** Guards against a check of work that the lower of two limits may keep waiting. */
    @Test
    void shouldNotBeReportedWhileALowerLimitMayBeInForce() {
      OperatorConfig.Team team = config.team("banks").orElseThrow();
      invariants.onConfigWritten(
          config.with(new OperatorConfig.Team(team.name(), team.weight(), 1)));
      invariants.onConfigWritten(config);
      waitFor(9_000, roomForTwo);
      assertThat(invariants.breaches()).isEmpty();
    }
  }

  @Nested
  class ALongRunningTask {

    /** Guards against a check that lets a long-running task wait behind others. */
    @Test
    void shouldBeReportedAlthoughHalfOfThePoolIsInUse() {
      accept(StepSpec.ofLongRunningTasks(1, NEED, "", 0, 1));
      fill(worker, 8_000);
      fill(roomForTwo.get(1), 8_000);
      waitFor(3_500, fourWorkers);
      assertThat(invariants.breaches()).singleElement().asString().contains("LOST", TASK);
    }

    /** Guards against a check that takes a long-running task that ended as done for finished. */
    @Test
    void shouldBeReportedNineSecondsAfterItsLastRun() {
      accept(StepSpec.ofLongRunningTasks(1, NEED, "", 0, 1));
      invariants.onStart(worker, TASK, 1);
      waitFor(9_000, roomForTwo);
      assertThat(invariants.breaches()).isEmpty();
      invariants.onEnd(worker, new EndedTask(1, TASK, 1, EndKind.DONE, ""));
      nowMs = clock.nowMs();
      waitFor(8_900, roomForTwo);
      assertThat(invariants.breaches()).isEmpty();
      waitFor(500, roomForTwo);
      assertThat(invariants.breaches()).singleElement().asString().contains("LOST", TASK);
    }
  }
}
