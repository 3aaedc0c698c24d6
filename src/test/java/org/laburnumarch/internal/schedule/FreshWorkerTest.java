package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/** Plays an overloaded pool that fresh, empty workers join, in virtual time. */
class FreshWorkerTest {

  private static final long TERM = 1;
  private static final long TASK_CPU_MILLIS = 2_000;

  private final List<SimulatedWorker> workers = new ArrayList<>();
  private long nowMs = 1_000_000;
  private Scheduler scheduler;

  @BeforeEach
  void fillThePool() {
    scheduler = new Scheduler(TestJobs.SETTINGS, TERM, nowMs, false);
    scheduler.configure(TestJobs.config(1_000_000, 2));
    join("w1");
    join("w2");
    for (int i = 0; i < 4; i++) {
      scheduler.accept(TestJobs.job("job" + i, nowMs, TestJobs.step(8, TASK_CPU_MILLIS)), nowMs);
    }
    while (!startAll().isEmpty()) {
      nowMs += 5;
    }
  }

  private void join(String id) {
    workers.add(new SimulatedWorker(id, TestJobs.SERVICE, "r1", nowMs));
    scheduler.updateWorkerListings(workers.stream().map(SimulatedWorker::listing).toList(), nowMs);
    scheduler.confirmEnrolment(scheduler.workersToEnrol());
    nowMs += 5;
    for (SimulatedWorker worker : workers) {
      scheduler
          .renewal(worker.id(), nowMs)
          .map(renewal -> worker.renew(renewal, TERM, nowMs))
          .ifPresent(report -> scheduler.onReport(worker.id(), report, nowMs, nowMs));
    }
  }

  /** Starts all that can start, and returns the ids of the workers that were chosen. */
  private List<String> startAll() {
    scheduler.onOwnershipProven(nowMs);
    List<String> chosen = new ArrayList<>();
    for (Order order : scheduler.decide(nowMs, nowMs).orders()) {
      if (order instanceof Order.Start start) {
        SimulatedWorker worker =
            workers.stream().filter(it -> it.id().equals(start.workerId())).findFirst().get();
        Behaviour behaviour =
            new Behaviour(nowMs + 60_000, false, new Resources(TASK_CPU_MILLIS, 1_000, 0));
        scheduler.onStartReply(start, worker.start(start, TERM, behaviour, nowMs), nowMs);
        chosen.add(start.workerId());
      }
    }
    return chosen;
  }

  /**
   * Guards against work that waits for crowded workers while fresh ones stand idle: it must start
   * there as soon as they are enrolled and have reported, without waiting for a rating or a plan.
   */
  @Test
  void shouldGetTheWaitingWorkAtOnce() {
    assertThat(startAll()).isEmpty();
    join("w3");
    assertThat(startAll()).isNotEmpty().containsOnly("w3");
  }

  @Test
  void shouldBeFilledLikeTheOthers() {
    join("w3");
    int started = 0;
    for (List<String> chosen = startAll(); !chosen.isEmpty(); chosen = startAll()) {
      started += chosen.size();
      nowMs += 5;
    }
    assertThat(started).isEqualTo((int) (SimulatedWorker.CAPACITY.cpuMillis() / TASK_CPU_MILLIS));
  }
}
