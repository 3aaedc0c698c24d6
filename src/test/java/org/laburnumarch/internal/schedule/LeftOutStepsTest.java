package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/** Guards against steps that each round leaves out while a worker has room for them. */
class LeftOutStepsTest {

  private static final long START_MS = 1_000_000;
  private static final long ROUND_MS = 100;
  private static final long NEVER_MS = Long.MAX_VALUE / 2;
  private static final int WAITING_STEPS = 40;

  private final Scheduler scheduler = new Scheduler(TestJobs.SETTINGS, 1, START_MS, false);
  private final List<SimulatedWorker> workers =
      Stream.of("w1", "w2")
          .map(id -> new SimulatedWorker(id, TestJobs.SERVICE, "r1", START_MS))
          .toList();
  private final Set<String> startedJobs = new HashSet<>();
  private long nowMs = START_MS;

  @BeforeEach
  void enrolWorkers() {
    scheduler.configure(TestJobs.config(0, 9));
    scheduler.updateWorkerListings(
        workers.stream().map(SimulatedWorker::listing).toList(), START_MS);
    scheduler.confirmEnrolment(scheduler.workersToEnrol());
  }

  private void accept(String id, StepSpec step) {
    scheduler.accept(TestJobs.job(id, nowMs, step), nowMs);
  }

  private void acceptMany(String prefix, StepSpec step) {
    for (int i = 0; i < WAITING_STEPS; i++) {
      accept(prefix + i, step);
    }
  }

  /** Runs the scheduler for some seconds, with tasks that do not end. */
  private void runRounds() {
    long untilMs = nowMs + 5_000;
    while (nowMs < untilMs) {
      nowMs += ROUND_MS;
      scheduler.onOwnershipProven(nowMs);
      for (SimulatedWorker worker : workers) {
        scheduler
            .renewal(worker.id(), nowMs)
            .ifPresent(
                renewal ->
                    scheduler.onReport(worker.id(), worker.renew(renewal, 1, nowMs), nowMs, nowMs));
      }
      for (Order order : scheduler.decide(nowMs, nowMs).orders()) {
        if (order instanceof Order.Start start) {
          SimulatedWorker worker =
              workers.stream().filter(it -> it.id().equals(start.workerId())).findAny().get();
          Behaviour behaviour = new Behaviour(NEVER_MS, false, Resources.NONE);
          scheduler.onStartReply(start, worker.start(start, 1, behaviour, nowMs), nowMs);
          startedJobs.add(start.taskName().substring(0, start.taskName().indexOf('.')));
        }
      }
    }
  }

  /** Returns a step that has one more task than its limit allows on two workers. */
  private static StepSpec spread(boolean isLongRunning) {
    Resources need = new Resources(10, 10, 0);
    return isLongRunning
        ? StepSpec.ofLongRunningTasks(3, need, "", 1, 0)
        : StepSpec.ofTasks(3, need, 500, List.of()).withMaxPerWorker(1);
  }

  @Test
  void shouldStartEachOfManyLongRunningJobsThatCannotRunAllOfTheirTasks() {
    acceptMany("spread", spread(true));
    runRounds();
    assertThat(startedJobs).hasSize(WAITING_STEPS);
  }

  @Test
  void shouldStartEachOfManyStepsWithALimitForEachWorkerThatThePoolIsTooSmallFor() {
    acceptMany("spread", spread(false));
    runRounds();
    assertThat(startedJobs).hasSize(WAITING_STEPS);
  }

  @Test
  void shouldStartAGangBehindManyStepsAtTheirLimit() {
    acceptMany("spread", spread(true));
    runRounds();
    accept("gang", TestJobs.gangStep(2, 100));
    runRounds();
    assertThat(startedJobs).contains("gang");
  }

  @Test
  void shouldStartALongRunningTaskBehindManyThatFitNowhere() {
    acceptMany("large", StepSpec.ofLongRunningTasks(1, new Resources(9_000, 10, 0), "", 0, 0));
    accept("small", StepSpec.ofLongRunningTasks(1, new Resources(10, 10, 0), "", 0, 0));
    runRounds();
    assertThat(startedJobs).containsExactly("small");
  }

  @Test
  void shouldStartAGangBehindManyThatDoNotFit() {
    acceptMany("large", TestJobs.gangStep(3, 6_000));
    accept("small", TestJobs.gangStep(2, 100));
    runRounds();
    assertThat(startedJobs).containsExactly("small");
  }
}
