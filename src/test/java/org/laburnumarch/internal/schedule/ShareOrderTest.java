package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.schedule.OrderReply.Outcome;

/** Tests how shares change what the scheduler starts, on two workers of 8 cores. */
class ShareOrderTest {

  private static final long NOW_MS = 1_000_000;

  private static Scheduler scheduler(double weight, long limitedCpuMillis) {
    Scheduler scheduler = new Scheduler(TestJobs.SETTINGS, 1, NOW_MS, false);
    scheduler.configure(
        TestJobs.configOfTeams(
            2,
            900,
            TestJobs.team("flood", weight, 0),
            TestJobs.team("small", weight, 0),
            TestJobs.team("limited", 10 * weight, limitedCpuMillis)));
    List<SimulatedWorker> workers =
        List.of(
            new SimulatedWorker("w1", TestJobs.SERVICE, "r", NOW_MS),
            new SimulatedWorker("w2", TestJobs.SERVICE, "r", NOW_MS));
    scheduler.updateWorkerListings(workers.stream().map(SimulatedWorker::listing).toList(), NOW_MS);
    scheduler.confirmEnrolment(scheduler.workersToEnrol());
    for (SimulatedWorker worker : workers) {
      Renewal renewal = scheduler.renewal(worker.id(), NOW_MS).orElseThrow();
      scheduler.onReport(worker.id(), worker.renew(renewal, 1, NOW_MS), NOW_MS, NOW_MS);
    }
    return scheduler;
  }

  private static void submit(
      Scheduler scheduler, String id, String team, String queue, StepSpec... steps) {
    scheduler.accept(new JobSpec(id, queue, team, "", List.of(steps), 0, 0, 0, NOW_MS), NOW_MS);
  }

  /** Decides until nothing more starts; returns the starts in order, without their workers. */
  private static List<String> startedTasks(Scheduler scheduler, long nowMs) {
    List<String> started = new ArrayList<>();
    while (true) {
      List<Order> orders = scheduler.decide(nowMs, nowMs).orders();
      if (orders.isEmpty()) {
        return started;
      }
      for (Order order : orders) {
        started.add(order.taskName() + ' ' + order.workerId());
        scheduler.onStartReply((Order.Start) order, new OrderReply(Outcome.OBEYED, nowMs), nowMs);
      }
    }
  }

  /** Guards against any change while everything fits; without weights there are no shares. */
  @Test
  void shouldStartTheSameWhileEverythingFits() {
    for (long seed = 1; seed <= 50; seed++) {
      Scheduler divided = scheduler(1, 0);
      Scheduler undivided = scheduler(0, 0);
      Random random = new Random(seed);
      int freeCores = 16;
      for (int i = 0; freeCores > 0; i++) {
        int tasks = Math.min(freeCores, 1 + random.nextInt(4));
        freeCores -= tasks;
        String team = List.of("flood", "small", "limited", "").get(random.nextInt(4));
        String queue = "q" + random.nextInt(2);
        StepSpec step = TestJobs.step(tasks, 1_000);
        submit(divided, "j" + i, team, queue, step);
        submit(undivided, "j" + i, team, queue, step);
      }
      assertThat(startedTasks(divided, NOW_MS))
          .as("starts, seed %d", seed)
          .isEqualTo(startedTasks(undivided, NOW_MS));
    }
  }

  /** Guards against a flood that was submitted first and takes the whole pool. */
  @Test
  void shouldStartAgreedWorkBeforeAnEarlierFlood() {
    Scheduler scheduler = scheduler(1, 0);
    for (int i = 0; i < 40; i++) {
      submit(scheduler, "flood" + i, "flood", "q1", TestJobs.step(2, 1_000));
    }
    submit(scheduler, "small", "small", "q1", TestJobs.step(2, 1_000));
    submit(scheduler, "urgent", "flood", "q0", TestJobs.step(1, 1_000));
    List<String> started = startedTasks(scheduler, NOW_MS);
    assertThat(started.get(0)).startsWith("urgent");
    assertThat(started).hasSize(16).anyMatch(task -> task.startsWith("small.0.0.1"));
    assertThat(scheduler.shares().pool(TestJobs.SERVICE).usedFractions())
        .as("use of running work")
        .containsEntry("small", 2.0 / 16);
  }

  /**
   * Guards against a team at its upper limit, or large steps in a row: both are ordered first,
   * since their team uses little, and must not keep others from free capacity.
   */
  @Test
  void shouldNotLeaveCapacityFreeBehindWorkThatMayNotStart() {
    Scheduler scheduler = scheduler(1, 1_000);
    for (int i = 0; i < 60; i++) {
      submit(scheduler, "limited" + i, "limited", "q0", TestJobs.step(1, 1_000));
      submit(scheduler, "large" + i, "small", "q0", TestJobs.step(1, 9_000));
    }
    for (int i = 0; i < 20; i++) {
      submit(scheduler, "flood" + i, "flood", "q1", TestJobs.step(1, 1_000));
    }
    List<String> started = startedTasks(scheduler, NOW_MS);
    assertThat(started).hasSize(16);
    assertThat(started).filteredOn(task -> task.startsWith("limited")).hasSize(1);
  }
}
