package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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

  private final Scheduler scheduler = new Scheduler(TestJobs.SETTINGS, 1, START_MS, false);
  private final SimulatedWorker worker =
      new SimulatedWorker("w1", TestJobs.SERVICE, "r1", START_MS);
  private long nowMs = START_MS;

  @BeforeEach
  void enrolWorker() {
    scheduler.configure(TestJobs.config(0, 9));
    scheduler.updateWorkerListings(List.of(worker.listing()), nowMs);
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
    scheduler
        .renewal("w1", nowMs)
        .ifPresent(
            renewal -> scheduler.onReport("w1", worker.renew(renewal, 1, nowMs), nowMs, nowMs));
    List<String> started = new ArrayList<>();
    for (Order order : scheduler.decide(nowMs, nowMs).orders()) {
      if (order instanceof Order.Start start) {
        Behaviour behaviour = new Behaviour(nowMs + runMs, false, Resources.NONE);
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

  /** Guards against short tasks that stand while an advised one may only run on other workers. */
  @Test
  void shouldNotBeKeptForALongRunningTaskWithoutATicketForIt() {
    scheduler.configure(TestJobs.configWithAdvice());
    scheduler.accept(TestJobs.advisedJob("advised", nowMs, longRunning(1_000)), nowMs);
    accept("short", TestJobs.step(1, 1_000));
    scheduler.onAdvice("advised.0.0", Map.of("w2", "ticket"), 10_000, nowMs);
    assertThat(startAll(SHORT_RUN_MS)).containsExactly("short");
  }
}
