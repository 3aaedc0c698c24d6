package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.JobProgress;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;
import org.laburnumarch.internal.schedule.OrderReply.Outcome;

/**
 * Tests that no task runs twice and no end is lost when workers start again under their ids, in
 * virtual time.
 */
class RestartedWorkerTest {

  private static final long START_MS = 1_000_000;

  private final SimulatedWorker one = new SimulatedWorker("w1", TestJobs.SERVICE, "r1", START_MS);
  private final SimulatedWorker two = new SimulatedWorker("w2", TestJobs.SERVICE, "r2", START_MS);
  private final Map<String, SimulatedWorker> workers = Map.of(one.id(), one, two.id(), two);
  private final Map<String, JobProgress> progress = new HashMap<>();
  private long nowMs = START_MS;
  private long term = 1;
  private Scheduler scheduler;

  @BeforeEach
  void createSchedulerWithTwoWorkers() {
    scheduler = new Scheduler(TestJobs.SETTINGS, term, nowMs, false);
    scheduler.configure(TestJobs.config(100_000, 2));
    readRegistry();
    scheduler.confirmEnrolment(scheduler.workersToEnrol());
    passTime(100);
  }

  private void readRegistry() {
    scheduler.updateWorkerListings(List.of(one.listing(), two.listing()), nowMs);
  }

  private void passTime(long durationMs) {
    nowMs += durationMs;
    workers.values().forEach(this::report);
  }

  private void report(SimulatedWorker worker) {
    scheduler
        .renewal(worker.id(), nowMs)
        .map(renewal -> worker.renew(renewal, term, nowMs))
        .ifPresent(report -> scheduler.onReport(worker.id(), report, nowMs, nowMs));
  }

  private List<Order> decide() {
    scheduler.onOwnershipProven(nowMs);
    return scheduler.decide(nowMs, nowMs).orders();
  }

  private List<Order.Start> starts() {
    return decide().stream()
        .filter(Order.Start.class::isInstance)
        .map(Order.Start.class::cast)
        .toList();
  }

  private void acceptJobWithOneTask() {
    scheduler.accept(TestJobs.job("a", nowMs, TestJobs.step(1, 1_000)), nowMs);
  }

  private OrderReply execute(Order.Start start, long runMs) {
    return workers
        .get(start.workerId())
        .start(start, term, new Behaviour(nowMs + runMs, false, Resources.NONE), nowMs);
  }

  @Nested
  class WhenAnEndIsListedAgain {

    private WorkerReport withoutIncarnation(WorkerReport report) {
      return new WorkerReport(report.workerClockMs(), 0, report.running(), report.ended(), true);
    }

    private long acknowledgedEnd(SimulatedWorker worker) {
      return scheduler.renewal(worker.id(), nowMs).map(Renewal::acknowledgedEnd).orElse(0L);
    }

    /**
     * Guards against an end that is acknowledged before it is stored. The worker's incarnation
     * becomes known only after its end has been applied; the end is then listed again, by a task
     * that is done already. A successor that does not find the end in the store would run the task
     * a second time.
     */
    @Test
    void shouldNotAcknowledgeItBeforeTheFirstListingIsStored() {
      SimulatedWorker late = new SimulatedWorker("w3", TestJobs.SERVICE, "r1", START_MS);
      WorkerListing listing = late.listing();
      scheduler = new Scheduler(TestJobs.SETTINGS, term, nowMs, false);
      scheduler.configure(TestJobs.config(100_000, 2));
      scheduler.updateWorkerListings(
          List.of(
              new WorkerListing(
                  listing.id(),
                  listing.service(),
                  listing.address(),
                  listing.dataCentre(),
                  listing.capacity(),
                  listing.labels(),
                  false,
                  0,
                  0)),
          nowMs);
      scheduler.confirmEnrolment(scheduler.workersToEnrol());
      Renewal report = new Renewal(late.id(), -1, 0, 0);
      scheduler.onReport(
          late.id(), withoutIncarnation(late.renew(report, term, nowMs)), nowMs, nowMs);
      acceptJobWithOneTask();
      Order.Start start = starts().get(0);
      scheduler.onStartReply(
          start,
          late.start(start, term, new Behaviour(nowMs + 50, false, Resources.NONE), nowMs),
          nowMs);
      nowMs += 100;
      scheduler.onReport(
          late.id(), withoutIncarnation(late.renew(report, term, nowMs)), nowMs, nowMs);
      JobChanges notYetStored = scheduler.takeChanges().orElseThrow();

      scheduler.updateWorkerListings(List.of(listing), nowMs);
      scheduler.onReport(late.id(), late.renew(report, term, nowMs), nowMs, nowMs);
      nowMs += 50;
      assertThat(acknowledgedEnd(late)).isZero();

      scheduler.confirmStored(notYetStored, nowMs);
      assertThat(acknowledgedEnd(late)).isEqualTo(1);
      assertThat(scheduler.status("a")).contains(JobStatus.COMPLETED);
    }
  }

  /** The response of the ended process is on its way while the worker starts again. */
  @Nested
  class WhenAReportArrivesLate {

    private static final long RESTART_MS = 300;
    private static final long TRANSIT_MS = 340;

    private SimulatedWorker worker;

    /** Ends one of two tasks on one worker, and takes the report of that end. */
    private WorkerReport reportOfAnEnd() {
      scheduler.accept(TestJobs.job("a", nowMs, TestJobs.step(2, 1_000)), nowMs);
      List<Order.Start> starts = starts();
      worker = workers.get(starts.get(0).workerId());
      assertThat(starts).allMatch(start -> start.workerId().equals(worker.id()));
      scheduler.onStartReply(starts.get(0), execute(starts.get(0), 1_000), nowMs);
      scheduler.onStartReply(starts.get(1), execute(starts.get(1), 60_000), nowMs);
      passTime(100);
      nowMs += 900;
      WorkerReport report = worker.renew(new Renewal(worker.id(), -1, 0, 0), term, nowMs);
      assertThat(report.ended()).hasSize(1);
      return report;
    }

    private void store() {
      scheduler
          .takeChanges()
          .ifPresent(
              changes -> {
                scheduler.confirmStored(changes, nowMs);
                changes.progress().forEach(stored -> progress.put(stored.id(), stored));
              });
    }

    private void deliver(WorkerReport report, long requestedAtMs) {
      scheduler.onReport(worker.id(), report, requestedAtMs, nowMs);
      store();
      nowMs += 20;
    }

    private void restartBeforeTheReportArrives() {
      long requestedAtMs = nowMs;
      WorkerReport late = reportOfAnEnd();
      nowMs += RESTART_MS;
      worker.crash(nowMs);
      nowMs += TRANSIT_MS - RESTART_MS;
      deliver(late, requestedAtMs);
    }

    @Test
    void shouldNotAcknowledgeItsEndsToTheNewIncarnation() {
      restartBeforeTheReportArrives();
      assertThat(scheduler.renewal(worker.id(), nowMs).orElseThrow().acknowledgedEnd()).isZero();
    }

    /** Guards against an end that the new incarnation has forgotten before it has listed it. */
    @Test
    void shouldNotRestartATaskAfterATakeoverThatTheNewIncarnationHasDone() {
      restartBeforeTheReportArrives();
      scheduler.setCordonedWorkers(Set.of((worker == one ? two : one).id()));
      passTime(0);
      passTime(20);
      passTime(20);
      List<Order.Start> starts = starts();
      assertThat(starts).extracting(Order.Start::taskName).containsExactly("a.0.0.1");
      assertThat(starts.get(0).workerId()).isEqualTo(worker.id());
      scheduler.onStartReply(starts.get(0), execute(starts.get(0), 100), nowMs);
      nowMs += 100;
      workers.values().forEach(it -> it.advance(nowMs));

      term++;
      scheduler = new Scheduler(TestJobs.SETTINGS, term, nowMs, true);
      scheduler.configure(TestJobs.config(100_000, 2));
      readRegistry();
      scheduler.confirmEnrolment(scheduler.workersToEnrol());
      scheduler.restore(
          TestJobs.job("a", START_MS, TestJobs.step(2, 1_000)),
          Optional.of(progress.get("a")),
          nowMs,
          nowMs);
      for (int i = 0; i < 5; i++) {
        passTime(20);
        assertThat(starts()).isEmpty();
      }
      store();
      assertThat(scheduler.status("a")).contains(JobStatus.COMPLETED);
    }

    /** Guards against ends that are never acknowledged after a late report. */
    @Test
    void shouldAcknowledgeItsEndsOnceAnotherReportHasShownTheWorkerRunning() {
      long requestedAtMs = nowMs;
      WorkerReport late = reportOfAnEnd();
      nowMs += TRANSIT_MS;
      deliver(late, requestedAtMs);
      Renewal renewal = scheduler.renewal(worker.id(), nowMs).orElseThrow();
      assertThat(renewal.acknowledgedEnd()).isZero();
      assertThat(renewal.waitMs()).isZero();
      deliver(worker.renew(renewal, term, nowMs), nowMs);
      assertThat(scheduler.renewal(worker.id(), nowMs).orElseThrow().acknowledgedEnd())
          .isEqualTo(1);
    }

    /** Guards against ends that are never acknowledged while reports take long. */
    @Test
    void shouldAcknowledgeItsEndsAlthoughEachReportTakesLong() {
      scheduler.accept(TestJobs.job("a", nowMs, TestJobs.step(2, 1_000)), nowMs);
      List<Order.Start> starts = starts();
      worker = workers.get(starts.get(0).workerId());
      scheduler.onStartReply(starts.get(0), execute(starts.get(0), 8_000), nowMs);
      scheduler.onStartReply(starts.get(1), execute(starts.get(1), 60_000), nowMs);
      long acknowledged = 0;
      for (long endMs = nowMs + 30_000; acknowledged == 0 && nowMs < endMs; ) {
        Optional<Renewal> renewal = scheduler.renewal(worker.id(), nowMs);
        if (renewal.isEmpty()) {
          nowMs += 10;
          continue;
        }
        acknowledged = renewal.get().acknowledgedEnd();
        long sentAtMs = nowMs;
        nowMs += TRANSIT_MS / 3;
        WorkerReport report = worker.renew(renewal.get(), term, nowMs);
        nowMs += TRANSIT_MS / 3;
        deliver(report, sentAtMs);
      }
      assertThat(acknowledged).isEqualTo(1);
    }

    /**
     * Guards against a second request for each end, because reports wait for ends at the worker.
     */
    @Test
    void shouldAcknowledgeItsEndsAtOnceIfOnlyTheRequestWaitedAtTheWorker() {
      long requestedAtMs = nowMs;
      WorkerReport report = reportOfAnEnd();
      nowMs += 5;
      deliver(report, requestedAtMs);
      assertThat(scheduler.renewal(worker.id(), nowMs).orElseThrow().acknowledgedEnd())
          .isEqualTo(1);
    }
  }

  @Nested
  class WhenAnInstanceIsMoved {

    private static final long LISTED_MS = 6_000;

    private void terminate(SimulatedWorker worker) {
      scheduler.onWorkerTerminated(worker.id(), nowMs + LISTED_MS);
    }

    /**
     * Guards against an owner that spends its processor time on workers that it has ended itself.
     * The registry lists them for some seconds, and with hundreds of moves they outnumber the rest.
     */
    @Test
    void shouldNotAskItsWorkerAnyMore() {
      terminate(one);
      for (long endMs = nowMs + 4_000; nowMs < endMs; nowMs += 50) {
        assertThat(scheduler.renewal(one.id(), nowMs)).isEmpty();
        readRegistry();
        assertThat(decide()).isEmpty();
      }
      assertThat(scheduler.workerIds()).containsExactly(two.id());
      assertThat(scheduler.workersToEnrol()).extracting(WorkerListing::id).containsExactly("w2");
    }

    /** Guards against forgetting a run that an order met on its way to the platform. */
    @Test
    void shouldNotForgetAWorkerThatRunsSomething() {
      acceptJobWithOneTask();
      Order.Start start = starts().get(0);
      scheduler.onStartReply(start, execute(start, 5_000), nowMs);
      terminate(workers.get(start.workerId()));
      assertThat(starts()).isEmpty();
      assertThat(scheduler.workerIds()).contains(start.workerId());
    }

    @Test
    void shouldUseALaterIncarnationUnderTheSameId() {
      terminate(one);
      terminate(two);
      nowMs += 2_000;
      one.crash(nowMs);
      readRegistry();
      scheduler.confirmEnrolment(scheduler.workersToEnrol());
      passTime(20);
      acceptJobWithOneTask();
      assertThat(starts()).extracting(Order.Start::workerId).containsExactly(one.id());
    }

    /**
     * Guards against a sound worker that is never used again. A repeated order is accepted although
     * the first one, whose answer was lost, has moved the instance; the worker is the next one.
     */
    @Test
    void shouldUseAWorkerAgainThatStaysListed() {
      terminate(one);
      terminate(two);
      acceptJobWithOneTask();
      assertThat(starts()).isEmpty();
      nowMs += LISTED_MS + 1;
      readRegistry();
      assertThat(starts()).isEmpty();
      assertThat(scheduler.needsEnrolment()).isTrue();
      scheduler.confirmEnrolment(scheduler.workersToEnrol());
      passTime(20);
      assertThat(starts()).hasSize(1);
    }
  }

  @Nested
  class WhenItsWallClockWasSetBack {

    private static final long SET_BACK_MS = 100_000;

    private void reportAfterSettingBack(SimulatedWorker worker) {
      nowMs += 20;
      scheduler
          .renewal(worker.id(), nowMs)
          .map(renewal -> worker.renew(renewal, term, nowMs))
          .ifPresent(
              report ->
                  scheduler.onReport(
                      worker.id(),
                      new WorkerReport(
                          report.workerClockMs(),
                          report.startedEpochMs() - SET_BACK_MS,
                          report.running(),
                          report.ended(),
                          true),
                      nowMs,
                      nowMs));
    }

    private Order.Start startThatARestartLoses() {
      acceptJobWithOneTask();
      Order.Start start = starts().get(0);
      scheduler.onStartReply(start, execute(start, 5_000), nowMs);
      passTime(20);
      workers.get(start.workerId()).crash(nowMs);
      return start;
    }

    /** Guards against a worker whose reports are ignored for ever, and its lost tasks with them. */
    @Test
    void shouldRestartTheTasksOfTheEarlierIncarnation() {
      Order.Start start = startThatARestartLoses();
      reportAfterSettingBack(workers.get(start.workerId()));
      reportAfterSettingBack(workers.get(start.workerId()));
      assertThat(starts()).hasSize(1);
    }

    /** Guards against an entry of the earlier incarnation that ends the runs of the current one. */
    @Test
    void shouldIgnoreTheOldRegistryEntry() {
      Order.Start start = startThatARestartLoses();
      WorkerListing old = scheduler.listing(start.workerId()).orElseThrow();
      SimulatedWorker worker = workers.get(start.workerId());
      reportAfterSettingBack(worker);
      scheduler.updateWorkerListings(List.of(old), nowMs);
      Order.Start again = starts().get(0);
      assertThat(again.workerId()).isEqualTo(worker.id());
      scheduler.onStartReply(again, execute(again, 5_000), nowMs);
      for (int i = 0; i < 5; i++) {
        scheduler.updateWorkerListings(List.of(old), nowMs);
        reportAfterSettingBack(worker);
        assertThat(starts()).isEmpty();
      }
    }

    /** Guards against lists of the earlier process that arrive after a report of the next one. */
    @Test
    void shouldIgnoreALateReportOfTheEarlierIncarnation() {
      acceptJobWithOneTask();
      Order.Start start = starts().get(0);
      SimulatedWorker worker = workers.get(start.workerId());
      scheduler.onStartReply(start, execute(start, 5_000), nowMs);
      long requestedAtMs = nowMs;
      WorkerReport late = worker.report(nowMs);
      passTime(20);
      worker.crash(nowMs);
      reportAfterSettingBack(worker);
      scheduler.onReport(worker.id(), late, requestedAtMs, nowMs);
      reportAfterSettingBack(worker);
      assertThat(starts()).hasSize(1);
    }

    /** Guards against a report of an ended process that seems to be one of the next process. */
    @Test
    void shouldIgnoreAReportThatWasRequestedBeforeTheKnownIncarnationWasShown() {
      Order.Start start = startThatARestartLoses();
      SimulatedWorker worker = workers.get(start.workerId());
      long requestedAtMs = nowMs;
      WorkerReport early = new WorkerReport(1, START_MS - SET_BACK_MS, List.of(), List.of(), true);
      nowMs += 20;
      readRegistry();
      passTime(20);
      Order.Start again = starts().get(0);
      scheduler.onStartReply(again, execute(again, 5_000), nowMs);
      scheduler.onReport(worker.id(), early, requestedAtMs, nowMs);
      assertThat(starts()).isEmpty();
    }
  }

  @Nested
  class WhenAnOrderMeetsTheNewIncarnation {

    /**
     * Guards against a second run of a task that the new incarnation is running. A worker that
     * restarts soon after its start sets its clock back by less than the tolerance for delayed
     * replies, so that the reply to the start order does not show which incarnation executed it.
     */
    @Test
    void shouldNotStartATaskAgainThatTheNewIncarnationRuns() {
      acceptJobWithOneTask();
      Order.Start start = starts().get(0);
      SimulatedWorker worker = workers.get(start.workerId());
      worker.crash(nowMs);
      nowMs += 10;
      scheduler.onStartReply(start, execute(start, 5_000), nowMs);
      readRegistry();
      assertThat(worker.runningTasks()).containsExactly("a.0.0.0");
      assertThat(starts()).isEmpty();
    }

    /**
     * Guards against a task that never runs again because its run counts as one of the new
     * incarnation.
     */
    @Test
    void shouldStartATaskAgainThatOnlyTheEarlierIncarnationRan() {
      acceptJobWithOneTask();
      Order.Start start = starts().get(0);
      scheduler.onStartReply(start, execute(start, 5_000), nowMs);
      workers.get(start.workerId()).crash(nowMs);
      readRegistry();
      Optional<Order.Start> again = Optional.empty();
      long restartedAtMs = nowMs;
      while (again.isEmpty() && nowMs < restartedAtMs + 1_000) {
        for (Order order : decide()) {
          if (order instanceof Order.Stop stop) {
            OrderReply reply = workers.get(stop.workerId()).stop(stop, term, nowMs);
            scheduler.onStopReply(stop, reply, nowMs);
          } else if (order instanceof Order.Start next) {
            again = Optional.of(next);
          }
        }
        passTime(20);
      }
      assertThat(again).map(Order.Start::taskName).contains("a.0.0.0");
    }

    /**
     * Guards against a stop that the earlier incarnation confirmed and that the new one, which has
     * not seen it, is taken to obey.
     */
    @Test
    void shouldStopAnUnansweredStartInTheNewIncarnationToo() {
      acceptJobWithOneTask();
      Order.Start start = starts().get(0);
      SimulatedWorker worker = workers.get(start.workerId());
      scheduler.onStartReply(start, new OrderReply(Outcome.UNKNOWN, -1), nowMs);
      nowMs += 2_000;
      Order.Stop stop = (Order.Stop) decide().get(0);
      scheduler.onStopReply(stop, worker.stop(stop, term, nowMs), nowMs);
      nowMs += 10;
      worker.crash(nowMs);
      readRegistry();
      assertThat(decide()).containsExactly(stop);
      scheduler.onStopReply(stop, worker.stop(stop, term, nowMs), nowMs);
      assertThat(execute(start, 5_000).outcome()).isEqualTo(Outcome.OUTDATED);
    }
  }

  /**
   * Guards against a second run beside one whose lease is longer than its owner asked for. The time
   * that an order names lies far ahead on the clock of a worker that has restarted since, which
   * then grants its longest lease.
   */
  @Nested
  class WhenTheNewIncarnationGoesSilent {

    private static final long LONG_RUN_MS = 60_000;

    private Order.Start orderToARestartedWorker() {
      passTime(100_000);
      acceptJobWithOneTask();
      Order.Start start = starts().get(0);
      workers.get(start.workerId()).crash(nowMs);
      nowMs += 10;
      return start;
    }

    private void goSilentAndAssertThatTheTaskStartsAfterItsRun(SimulatedWorker silent) {
      long silentSinceMs = nowMs;
      List<Order.Start> again = List.of();
      while (again.isEmpty()) {
        assertThat(nowMs).isLessThan(silentSinceMs + 25_000);
        nowMs += 50;
        silent.advance(nowMs);
        if (scheduler.renewal(silent.id(), nowMs).isPresent()) {
          scheduler.onReportMissed(silent.id(), ReportFailure.NO_ANSWER, nowMs, nowMs);
        }
        report(silent == one ? two : one);
        again = starts();
      }
      assertThat(silent.runningTasks()).isEmpty();
    }

    @Test
    void shouldNotRunATaskTwiceThatItStartedBeforeItsFirstReport() {
      Order.Start start = orderToARestartedWorker();
      scheduler.onStartReply(start, execute(start, LONG_RUN_MS), nowMs);
      readRegistry();
      passTime(20);
      passTime(50);
      goSilentAndAssertThatTheTaskStartsAfterItsRun(workers.get(start.workerId()));
    }

    @Test
    void shouldNotRunATaskTwiceThatItStartsLate() {
      Order.Start start = orderToARestartedWorker();
      scheduler.onStartReply(start, new OrderReply(Outcome.UNKNOWN, -1), nowMs);
      readRegistry();
      passTime(20);
      nowMs += 1_000;
      execute(start, LONG_RUN_MS);
      goSilentAndAssertThatTheTaskStartsAfterItsRun(workers.get(start.workerId()));
    }

    /** Guards against a wait that counts a renewal from its request and not from its end. */
    @Test
    void shouldNotRunATaskTwiceWhoseLeaseALateRenewalExtends() {
      passTime(100_000);
      nowMs += 50;
      acceptJobWithOneTask();
      Order.Start start = starts().get(0);
      SimulatedWorker worker = workers.get(start.workerId());
      long requestedAtMs = nowMs;
      Renewal renewal = scheduler.renewal(worker.id(), nowMs).orElseThrow();
      assertThat(renewal.leaseEndClockMs()).isPositive();
      worker.crash(nowMs);
      nowMs += 10;
      scheduler.onStartReply(start, execute(start, LONG_RUN_MS), nowMs);
      nowMs += 1_500;
      worker.renew(renewal, term, nowMs);
      nowMs += 190;
      scheduler.onReportMissed(worker.id(), ReportFailure.NO_ANSWER, requestedAtMs, nowMs);
      goSilentAndAssertThatTheTaskStartsAfterItsRun(worker);
    }

    /** Guards against a wait that counts an unanswered start from when it was given up. */
    @Test
    void shouldNotRunATaskTwiceThatAnUnknownIncarnationStartsLate() {
      Order.Start start = orderToARestartedWorker();
      nowMs += 400;
      scheduler.onStartReply(start, new OrderReply(Outcome.UNKNOWN, -1), nowMs);
      long requestedAtMs = nowMs;
      assertThat(scheduler.renewal(start.workerId(), nowMs)).isNotEmpty();
      nowMs += 700;
      scheduler.onReportMissed(start.workerId(), ReportFailure.NO_ANSWER, requestedAtMs, nowMs);
      nowMs += 400;
      execute(start, LONG_RUN_MS);
      goSilentAndAssertThatTheTaskStartsAfterItsRun(workers.get(start.workerId()));
    }

    /** Guards against a long wait after each call that a cut path leaves without an answer. */
    @Test
    void shouldNotWaitForALaterIncarnationThatACallCannotReach() {
      passTime(100_000);
      long connectedAtMs = nowMs;
      acceptJobWithOneTask();
      Order.Start start = starts().get(0);
      nowMs += 50;
      long requestedAtMs = nowMs;
      Renewal renewal = scheduler.renewal(start.workerId(), nowMs).orElseThrow();
      assertThat(renewal.leaseEndClockMs()).isPositive();
      nowMs += 400;
      OrderReply unanswered = new OrderReply(Outcome.UNKNOWN, -1, connectedAtMs);
      scheduler.onStartReply(start, unanswered, nowMs);
      long givenUpAtMs = nowMs;
      nowMs += 1_300;
      scheduler.onReportMissed(
          start.workerId(), ReportFailure.NO_ANSWER, requestedAtMs, connectedAtMs, nowMs);
      goSilentAndAssertThatTheTaskStartsAfterItsRun(workers.get(start.workerId()));
      assertThat(nowMs - givenUpAtMs).isLessThan(TestJobs.SETTINGS.longestLeaseMs() + 200);
    }

    @Test
    void shouldNotRunATaskTwiceThatAnEarlierOwnerStarted() {
      Order.Start start = orderToARestartedWorker();
      execute(start, LONG_RUN_MS);
      term++;
      scheduler = new Scheduler(TestJobs.SETTINGS, term, nowMs, true);
      scheduler.configure(TestJobs.config(100_000, 2));
      readRegistry();
      scheduler.confirmEnrolment(scheduler.workersToEnrol());
      scheduler.restore(
          TestJobs.job("a", nowMs, TestJobs.step(1, 1_000)), Optional.empty(), nowMs, nowMs);
      passTime(20);
      passTime(50);
      goSilentAndAssertThatTheTaskStartsAfterItsRun(workers.get(start.workerId()));
    }
  }

  /**
   * Guards against tasks that wait for leases of a process which has ended, for 18 s after the
   * worker's restart.
   */
  @Test
  void shouldRestartTheTasksOfANewIncarnationThatHasEnded() {
    acceptJobWithOneTask();
    Order.Start first = starts().get(0);
    scheduler.onStartReply(first, execute(first, 60_000), nowMs);
    passTime(500);
    SimulatedWorker restarted = workers.get(first.workerId());
    restarted.crash(nowMs);
    readRegistry();
    passTime(50);
    scheduler.setCordonedWorkers(Set.of(restarted == one ? "w2" : "w1"));
    Order.Start again = starts().get(0);
    assertThat(again.workerId()).isEqualTo(restarted.id());
    scheduler.onStartReply(again, execute(again, 60_000), nowMs);
    passTime(500);
    scheduler.setCordonedWorkers(Set.of());
    long endedAtMs = nowMs;
    List<Order.Start> elsewhere = List.of();
    while (elsewhere.isEmpty()) {
      nowMs += 50;
      assertThat(nowMs).isLessThan(endedAtMs + 7_000);
      if (scheduler.renewal(restarted.id(), nowMs).isPresent()) {
        scheduler.onReportMissed(restarted.id(), ReportFailure.CONNECTION_REFUSED, nowMs, nowMs);
      }
      if (scheduler.needsInstanceList(nowMs)) {
        scheduler.onInstancesListed(Set.of(), nowMs);
      }
      report(restarted == one ? two : one);
      elsewhere = starts();
    }
  }
}
