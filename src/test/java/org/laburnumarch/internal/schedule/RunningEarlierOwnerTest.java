package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/**
 * Tests what a new owner concludes from reports while the earlier owner still sends orders, in
 * virtual time.
 */
class RunningEarlierOwnerTest {

  private static final long EARLIER_TERM = 1;
  private static final long TERM = 2;
  private static final long LONG_RUN_MS = 60_000;
  private static final long STEP_MS = 50;
  private static final String TASK = "a.0.0.0";

  private long nowMs = 1_000_000;
  private final SimulatedWorker reporting =
      new SimulatedWorker("w1", TestJobs.SERVICE, "r1", nowMs);
  private final SimulatedWorker silent = new SimulatedWorker("w2", TestJobs.SERVICE, "r2", nowMs);
  private final JobSpec job = TestJobs.job("a", nowMs, TestJobs.step(1, 1_000));
  private Scheduler scheduler;

  @BeforeEach
  void passTimeBeforeTheTakeover() {
    nowMs += 10_000;
  }

  private void takeOver() {
    scheduler = new Scheduler(TestJobs.SETTINGS, TERM, nowMs, true);
    scheduler.configure(TestJobs.config(0, 9));
    scheduler.updateWorkerListings(List.of(reporting.listing(), silent.listing()), nowMs);
    scheduler.confirmEnrolment(scheduler.workersToEnrol());
    scheduler.restore(job, Optional.empty(), nowMs, nowMs);
  }

  private void startUnderTheEarlierOwner(
      SimulatedWorker worker, long run, long runMs, boolean isFailing) {
    long leaseEndClockMs = worker.clockMs(nowMs) + TestJobs.SETTINGS.leaseMs();
    startUnderTheEarlierOwner(worker, run, runMs, isFailing, leaseEndClockMs);
  }

  private void startUnderTheEarlierOwner(
      SimulatedWorker worker, long run, long runMs, boolean isFailing, long leaseEndClockMs) {
    Order.Start start = new Order.Start(worker.id(), TASK, run, "", leaseEndClockMs, "", "");
    Behaviour behaviour = new Behaviour(nowMs + runMs, isFailing, Resources.NONE);
    assertThat(worker.start(start, EARLIER_TERM, behaviour, nowMs).outcome())
        .isEqualTo(OrderReply.Outcome.OBEYED);
  }

  private void report(SimulatedWorker worker) {
    scheduler
        .renewal(worker.id(), nowMs)
        .ifPresent(
            renewal ->
                scheduler.onReport(worker.id(), worker.renew(renewal, TERM, nowMs), nowMs, nowMs));
  }

  /** Lets time pass; only one worker reports. Returns the starts. */
  private List<Order> advance(long durationMs) {
    for (long untilMs = nowMs + durationMs; nowMs < untilMs; nowMs += STEP_MS) {
      silent.advance(nowMs);
      report(reporting);
      if (scheduler.renewal(silent.id(), nowMs).isPresent()) {
        scheduler.onReportMissed(silent.id(), ReportFailure.NO_ANSWER, nowMs, nowMs);
      }
      scheduler.onOwnershipProven(nowMs);
      List<Order> orders = scheduler.decide(nowMs, nowMs).orders();
      if (!orders.isEmpty()) {
        return orders;
      }
    }
    return List.of();
  }

  /** Guards against taking the run that a report lists for the last one of the earlier owner. */
  @Test
  void shouldNotRunATaskTwiceThatTheEarlierOwnerStartsAgainAfterTheTakeover() {
    startUnderTheEarlierOwner(reporting, 1, 300, true);
    takeOver();
    assertThat(advance(200)).isEmpty();
    assertThat(advance(TestJobs.SETTINGS.earlierOwnerAuthorityMs() - 1_000)).isEmpty();
    startUnderTheEarlierOwner(silent, 2, LONG_RUN_MS, false);
    assertThat(advance(20_000)).hasSize(1);
    assertThat(silent.runningTasks()).isEmpty();
  }

  /** Guards against a wait that ends before the lease of an order by an outdated clock reading. */
  @Test
  void shouldNotRunATaskTwiceThatTheEarlierOwnerStartsOnARestartedWorkerAfterTheTakeover() {
    long outdatedClockMs = silent.clockMs(nowMs);
    takeOver();
    silent.crash(nowMs);
    long leftMs = TestJobs.SETTINGS.earlierOwnerAuthorityMs() - STEP_MS;
    assertThat(advance(leftMs)).isEmpty();
    long leaseEndClockMs = outdatedClockMs + leftMs + TestJobs.SETTINGS.leaseMs();
    startUnderTheEarlierOwner(silent, 1, LONG_RUN_MS, false, leaseEndClockMs);
    assertThat(advance(20_000)).hasSize(1);
    assertThat(silent.runningTasks()).isEmpty();
  }

  /** Guards against a wait that counts an order of the earlier owner from when that stopped. */
  @Test
  void shouldNotRunATaskTwiceThatARestartedWorkerStartsAfterTheEarlierOwnerHasStopped() {
    long outdatedClockMs = silent.clockMs(nowMs);
    takeOver();
    silent.crash(nowMs);
    scheduler.onEarlierOwnerStopped(nowMs - 60_000, nowMs);
    assertThat(advance(1_000)).isEmpty();
    long leaseEndClockMs = outdatedClockMs + TestJobs.SETTINGS.leaseMs();
    startUnderTheEarlierOwner(silent, 1, LONG_RUN_MS, false, leaseEndClockMs);
    assertThat(advance(20_000)).hasSize(1);
    assertThat(silent.runningTasks()).isEmpty();
  }

  /** Lets both workers report until the owner starts the task, and ends the run by a crash. */
  private void startAndLoseARun() {
    List<Order> orders = List.of();
    for (int i = 0; orders.isEmpty(); i++) {
      assertThat(i).isLessThan(10);
      nowMs += STEP_MS;
      report(reporting);
      report(silent);
      orders = scheduler.decide(nowMs, nowMs).orders();
    }
    Order.Start start = (Order.Start) orders.get(0);
    SimulatedWorker worker = start.workerId().equals(silent.id()) ? silent : reporting;
    Behaviour behaviour = new Behaviour(nowMs + LONG_RUN_MS, false, Resources.NONE);
    scheduler.onStartReply(start, worker.start(start, TERM, behaviour, nowMs), nowMs);
    nowMs += STEP_MS;
    report(reporting);
    report(silent);
    nowMs += STEP_MS;
    worker.crash(nowMs);
  }

  private void listWorkers() {
    scheduler.updateWorkerListings(List.of(reporting.listing(), silent.listing()), nowMs);
  }

  /** Guards against an own start that counts as proof for the time after it, too. */
  @Test
  void shouldNotRunATaskTwiceThatTheEarlierOwnerStartsAfterThisOwner() {
    takeOver();
    startAndLoseARun();
    silent.crash(nowMs + 1);
    listWorkers();
    startUnderTheEarlierOwner(silent, 1, LONG_RUN_MS, false);
    scheduler.onEarlierOwnerStopped(nowMs - 60_000, nowMs);
    assertThat(advance(20_000)).hasSize(1);
    assertThat(silent.runningTasks()).isEmpty();
  }

  /** Guards against a report that counts for an incarnation which has not seen the new term. */
  @Test
  void shouldNotRunATaskTwiceOnAReportedWorkerThatHasRestartedSince() {
    takeOver();
    startAndLoseARun();
    silent.crash(nowMs + 1);
    scheduler.onReportMissed(silent.id(), ReportFailure.NO_ANSWER, nowMs, nowMs);
    startUnderTheEarlierOwner(silent, 1, LONG_RUN_MS, false);
    scheduler.onEarlierOwnerStopped(nowMs - 60_000, nowMs);
    assertThat(advance(20_000)).hasSize(1);
    assertThat(silent.runningTasks()).isEmpty();
  }

  /** Guards against a wait for leases of a silent worker that cannot have the task. */
  @Test
  void shouldNotWaitForSilentWorkersIfTheRunGoesOnAfterTheLastOrderOfTheEarlierOwner() {
    startUnderTheEarlierOwner(reporting, 1, 10_000, true);
    takeOver();
    long startedAtMs = nowMs;
    assertThat(advance(20_000)).hasSize(1);
    assertThat(nowMs - startedAtMs).isBetween(10_000L, 11_000L);
  }
}
