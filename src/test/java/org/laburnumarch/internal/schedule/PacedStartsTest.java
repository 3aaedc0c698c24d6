package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.pacing.OrderPacer;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/** Tests that the scheduler orders no more starts than can be sent, the most urgent first. */
class PacedStartsTest {

  private long nowMs = 1_000_000;
  private final OrderPacer pacer = new OrderPacer(1, 400);
  private final int limit = pacer.startLimit();
  private final Scheduler scheduler = new Scheduler(TestJobs.SETTINGS, 1, nowMs, false);
  private final List<SimulatedWorker> workers =
      IntStream.range(0, 6)
          .mapToObj(i -> new SimulatedWorker("w" + i, TestJobs.SERVICE, "r1", nowMs))
          .toList();

  @BeforeEach
  void registerWorkers() {
    scheduler.configure(TestJobs.config(1_000_000, 2));
    scheduler.setStartLimits(pacer);
    scheduler.updateWorkerListings(workers.stream().map(SimulatedWorker::listing).toList(), nowMs);
    scheduler.confirmEnrolment(scheduler.workersToEnrol());
    report();
  }

  private void report() {
    for (SimulatedWorker worker : workers) {
      scheduler
          .renewal(worker.id(), nowMs)
          .map(renewal -> worker.renew(renewal, 1, nowMs))
          .ifPresent(listed -> scheduler.onReport(worker.id(), listed, nowMs, nowMs));
    }
  }

  private List<Order> decide() {
    scheduler.onOwnershipProven(nowMs);
    List<Order> orders = scheduler.decide(nowMs, nowMs).orders();
    scheduler.takeChanges().ifPresent(changes -> scheduler.confirmStored(changes, nowMs));
    orders.stream()
        .filter(Order.Start.class::isInstance)
        .forEach(start -> pacer.onStartSent(start.workerId(), nowMs));
    return orders;
  }

  private void deliver(Order order, long runMs, long replyMs) {
    SimulatedWorker worker = workers.get(Integer.parseInt(order.workerId().substring(1)));
    Order.Start start = (Order.Start) order;
    Behaviour behaviour = new Behaviour(nowMs + runMs, false, Resources.NONE);
    pacer.onStartSettled(worker.id(), nowMs - replyMs, true, nowMs);
    scheduler.onStartReply(start, worker.start(start, 1, behaviour, nowMs), nowMs);
  }

  /** Guards against long-running tasks that wait behind others, and against stops that wait. */
  @Test
  void shouldStartLongRunningTasksFirstAndHoldNoStopBack() {
    scheduler.accept(TestJobs.job("batch", nowMs++, TestJobs.step(12, 100)), nowMs);
    scheduler.accept(TestJobs.job("web", nowMs, TestJobs.longRunningStep(1, 0, 0)), nowMs);
    List<Order> orders = decide();
    assertThat(orders).hasSize(limit);
    assertThat(orders.get(0).taskName()).startsWith("web.");
    deliver(orders.get(0), 10_000, 1);
    while (pacer.startsAllowed(nowMs) > 0) {
      pacer.onStartSent("w5", nowMs);
    }
    scheduler.cancel("web");
    assertThat(decide()).singleElement().isInstanceOf(Order.Stop.class);
  }

  /**
   * Guards against starts beyond the budget, gangs larger than the limit that never start, and work
   * that is forgotten while it is held back.
   */
  @Test
  void shouldStartEverythingWithinTheBudget() {
    long seed = Long.getLong("seed", System.nanoTime());
    System.out.println("PacedStartsTest -Dseed=" + seed);
    Random random = new Random(seed);
    int tasks = 0;
    for (int i = 0; i < 40; i++) {
      int size = 1 + random.nextInt(12);
      tasks += size;
      StepSpec step = i % 4 == 0 ? TestJobs.gangStep(size, 100) : TestJobs.step(size, 100);
      scheduler.accept(TestJobs.job("j" + i, nowMs, step), nowMs);
    }
    List<Order> pending = new ArrayList<>();
    for (int round = 0; round < 2_000 && tasks > 0; round++, nowMs += 10) {
      int allowed = pacer.startsAllowed(nowMs);
      // One gang may exceed the budget if half of the limit is free.
      int most = allowed > pacer.startLimit() / 2 ? allowed + 12 : allowed;
      List<Order> starts = decide();
      assertThat(starts).hasSizeLessThanOrEqualTo(most);
      pending.addAll(starts);
      for (; !pending.isEmpty() && random.nextInt(3) > 0; tasks--) {
        deliver(pending.remove(0), 100, 150);
      }
      report();
    }
    assertThat(tasks).isZero();
    assertThat(pacer.pollStartsHeld()).isTrue();
  }

  /** Guards against leases that run out, and ends that are never acknowledged, under pressure. */
  @Test
  void shouldSpaceReportsWithoutDelayingLeasesOrAcknowledgements() {
    scheduler.accept(TestJobs.job("a", nowMs, TestJobs.step(2, 100)), nowMs);
    List<Order> orders = decide();
    deliver(orders.get(0), 100, 1);
    deliver(orders.get(1), 10_000, 1);
    String worker = orders.get(0).workerId();
    assertThat(orders.get(1).workerId()).isEqualTo(worker);
    nowMs += 100;
    for (int i = 0; i < 40; i++, nowMs++) {
      pacer.onStartSent("x" + i, nowMs);
      pacer.onStartSettled("x" + i, nowMs - 200, true, nowMs);
    }
    report();
    decide();
    nowMs += 49;
    assertThat(scheduler.renewal(worker, nowMs)).isEmpty();
    nowMs += 51;
    Renewal renewal = scheduler.renewal(worker, nowMs).orElseThrow();
    assertThat(renewal.leaseEndClockMs()).isPositive();
    assertThat(renewal.acknowledgedEnd()).isPositive();
  }
}
