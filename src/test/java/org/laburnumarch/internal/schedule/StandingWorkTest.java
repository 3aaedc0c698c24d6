package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.QueueConfig;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.job.TaskKey;
import org.laburnumarch.internal.pacing.OrderPacer;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;
import org.laburnumarch.internal.schedule.OrderReply.Outcome;

/** Guards against work that stands and of which the log does not say why, in virtual time. */
class StandingWorkTest {

  private static final long START_MS = 1_000_000;

  private long nowMs = START_MS;
  private Scheduler scheduler = new Scheduler(TestJobs.SETTINGS, 1, nowMs, false);
  private final SimulatedWorker worker =
      new SimulatedWorker("w1", TestJobs.SERVICE, "r1", START_MS);

  private void begin(FleetConfig config) {
    scheduler.configure(config);
    scheduler.updateWorkerListings(List.of(worker.listing()), nowMs);
    scheduler.confirmEnrolment(scheduler.workersToEnrol());
    report();
  }

  private void report() {
    scheduler
        .renewal("w1", nowMs)
        .ifPresent(
            renewal -> scheduler.onReport("w1", worker.renew(renewal, 1, nowMs), nowMs, nowMs));
  }

  private void accept(String id, StepSpec... steps) {
    scheduler.accept(TestJobs.job(id, nowMs, steps), nowMs);
  }

  private List<Order.Start> decide() {
    scheduler.onOwnershipProven(nowMs);
    List<Order.Start> starts = new ArrayList<>();
    for (Order order : scheduler.decide(nowMs, nowMs).orders()) {
      if (order instanceof Order.Start start) {
        starts.add(start);
      }
    }
    return starts;
  }

  private void startAll(long runMs) {
    for (Order.Start start : decide()) {
      Behaviour behaviour = new Behaviour(nowMs + runMs, false, Resources.NONE);
      scheduler.onStartReply(start, worker.start(start, 1, behaviour, nowMs), nowMs);
    }
  }

  private List<StandingWork> standing() {
    decide();
    return scheduler.waits(nowMs, nowMs).standing();
  }

  private StandingWork onlyStanding(WaitReason reason) {
    List<StandingWork> all = standing();
    assertThat(all).extracting(StandingWork::reason).containsExactly(reason);
    return all.get(0);
  }

  @Nested
  class Selection {

    /** Guards against lines for work that has just come or runs, which would hide the others. */
    @Test
    void shouldOmitWorkThatRunsOrHasNotStoodForASecond() {
      begin(TestJobs.config(0, 9));
      accept("a", TestJobs.step(1, 8_000), TestJobs.step(1, 8_000, 0));
      startAll(1_500);
      nowMs += 1_400;
      report();
      accept("b", TestJobs.step(1, 1_000));
      nowMs += 200;
      report();
      startAll(9_000);
      assertThat(standing()).isEmpty();
    }

    /** Guards against one line for each of many jobs. */
    @Test
    void shouldCountAllJobsOfAPoolAndReasonTogetherAndNameTheOldest() {
      begin(TestJobs.config(0, 9));
      accept("old", TestJobs.step(2, 9_000));
      nowMs += 500;
      accept("new", TestJobs.step(3, 9_000));
      nowMs += 1_000;
      report();
      StandingWork work = onlyStanding(WaitReason.NO_WORKER);
      assertThat(work)
          .returns(2, StandingWork::jobs)
          .returns(5, StandingWork::tasks)
          .returns("old", StandingWork::jobId)
          .returns(1_500L, StandingWork::standingMs);
      assertThat(work.fields())
          .startsWith("pool=compute reason=no-worker jobs=2 tasks=5 job=old task=old.0.0.0 ")
          .contains(" team=research standing_ms=1500 ", " capacity=8000/32000/0 ");
    }

    /** Guards against a standing time that includes the last run. */
    @Test
    void shouldCountFromTheEndOfTheLastRun() {
      begin(TestJobs.config(0, 9));
      accept("a", TestJobs.step(1, 1_000), TestJobs.step(1, 9_000, 0));
      startAll(1_500);
      nowMs += 1_600;
      report();
      nowMs += 1_200;
      report();
      assertThat(onlyStanding(WaitReason.NO_WORKER).standingMs()).isEqualTo(1_200);
    }
  }

  @Nested
  class OutsideTheRounds {

    @Test
    void shouldShowAQueueThatTheConfigurationLacks() {
      begin(FleetConfig.EMPTY);
      accept("a", TestJobs.step(1, 1_000));
      nowMs += 1_000;
      assertThat(onlyStanding(WaitReason.QUEUE_NOT_CONFIGURED).jobId()).isEqualTo("a");
    }

    @Test
    void shouldNameTheSilentWorkerThatMayHaveTheRun() {
      begin(TestJobs.config(0, 9));
      accept("a", TestJobs.step(1, 1_000));
      startAll(9_000);
      nowMs += 500;
      scheduler.onReportMissed("w1", ReportFailure.NO_ANSWER, nowMs, nowMs);
      nowMs += 1_000;
      StandingWork work = onlyStanding(WaitReason.RUN_UNRESOLVED);
      assertThat(work.workerIds()).containsExactly("w1");
      assertThat(work.pool().doubtfulRuns()).isOne();
    }

    @Test
    void shouldShowAStartWithoutAReply() {
      begin(TestJobs.config(0, 9));
      accept("a", TestJobs.step(1, 1_000));
      decide();
      nowMs += 1_000;
      assertThat(onlyStanding(WaitReason.START_UNANSWERED).workerIds()).containsExactly("w1");
    }

    @Test
    void shouldShowThePauseAfterARefusal() {
      begin(TestJobs.config(0, 9));
      accept("a", TestJobs.step(1, 1_000));
      nowMs += 1_000;
      report();
      Order.Start start = decide().get(0);
      scheduler.onStartReply(start, new OrderReply(Outcome.NO_ROOM, -1), nowMs);
      StandingWork work = onlyStanding(WaitReason.REFUSAL_PAUSE);
      assertThat(work.pool().unavailable()).isEqualTo(Map.of("refusing", 1));
    }
  }

  @Nested
  class AfterATakeover {

    private final JobSpec job = TestJobs.job("a", START_MS, TestJobs.step(1, 1_000));

    /** Lets another owner begin that knows that a run is at a worker of another pool. */
    private void takeOverWithARunInAnotherPool() {
      scheduler = new Scheduler(TestJobs.SETTINGS, 2, nowMs, true);
      scheduler.restoreEnrolled(new SimulatedWorker("r1", "reserve", "r1", START_MS).listing());
      scheduler.configure(TestJobs.config(0, 9));
      scheduler.restore(job, Optional.empty(), nowMs, nowMs);
      scheduler.restoreRunLocations(
          new RunLocations(
              1,
              Map.of(new TaskKey("a", 0, 0, 0), Set.of("r1")),
              Map.of(),
              Map.of("r1", 4_000L),
              0),
          nowMs);
      begin(TestJobs.config(0, 9));
      nowMs += 1_000;
      report();
    }

    /** Guards against held tasks for which the log names no worker that they wait for. */
    @Test
    void shouldNameAnAwaitedWorkerOfAnotherPool() {
      takeOverWithARunInAnotherPool();
      assertThat(onlyStanding(WaitReason.TAKEOVER).workerIds()).containsExactly("r1");
      assertThat(scheduler.takeoverWaits())
          .singleElement()
          .returns(0, TakeoverWait::unreportedWorkers)
          .returns(List.of("r1"), TakeoverWait::awaitedWorkers);
    }

    /** Guards against waits that are shown for tasks of jobs that have been cancelled. */
    @Test
    void shouldOmitCancelledJobs() {
      takeOverWithARunInAnotherPool();
      decide();
      scheduler.cancel("a");
      assertThat(scheduler.takeoverWaits()).isEmpty();
      assertThat(standing()).isEmpty();
    }
  }

  @Nested
  class InARound {

    @Test
    void shouldShowATeamAtItsLimit() {
      begin(TestJobs.config(1_500, 9));
      accept("a", TestJobs.step(1, 1_000));
      startAll(9_000);
      accept("b", TestJobs.step(1, 1_000));
      nowMs += 1_000;
      report();
      assertThat(onlyStanding(WaitReason.TEAM_LIMIT).details())
          .isEqualTo("used=1000/1000/0 unreported=0/0/0 limit=1500/0/0 need=1000/1000/0");
    }

    @Test
    void shouldShowWhyNoWorkerOfThePoolTakesTasks() {
      begin(TestJobs.config(0, 9));
      scheduler.setCordonedWorkers(Set.of("w1"));
      accept("a", TestJobs.step(1, 1_000));
      nowMs += 1_000;
      StandingWork work = onlyStanding(WaitReason.NO_WORKER);
      assertThat(work.workerIds()).containsExactly("w1");
      assertThat(work.pool().unavailable()).isEqualTo(Map.of("cordoned", 1));
    }

    /** Guards against capacity that a run of which nothing is known takes unseen. */
    @Test
    void shouldShowRunsThatMayBeOverAndOccupyThePool() {
      begin(TestJobs.config(0, 9));
      accept("a", TestJobs.step(1, 7_000));
      accept("b", TestJobs.step(1, 7_000));
      Order.Start start = decide().get(0);
      scheduler.onStartReply(start, new OrderReply(Outcome.UNKNOWN, -1), nowMs);
      nowMs += 1_000;
      assertThat(standing())
          .filteredOn(work -> work.reason() == WaitReason.NO_CAPACITY)
          .singleElement()
          .returns("b", StandingWork::jobId)
          .returns(List.of("w1"), StandingWork::workerIds)
          .returns(new Resources(7_000, 1_000, 0), work -> work.pool().doubtful());
    }

    @Test
    void shouldShowWorkersThatGetNoFurtherStarts() {
      begin(TestJobs.config(0, 9));
      accept("a", TestJobs.step(4, 100));
      decide();
      accept("b", TestJobs.step(1, 100));
      nowMs += 1_000;
      List<StandingWork> all = standing();
      assertThat(all)
          .extracting(StandingWork::reason)
          .containsExactly(WaitReason.STARTS_IN_FLIGHT, WaitReason.START_UNANSWERED);
      assertThat(all.get(0).details()).isEqualTo("starts_allowed=4");
    }

    @Test
    void shouldShowALinkThatTakesNoMoreStarts() {
      begin(TestJobs.config(0, 9));
      OrderPacer pacer = new OrderPacer(1, 400);
      scheduler.setStartLimits(pacer);
      while (pacer.startsAllowed(nowMs) > 0) {
        pacer.onStartSent("w2", nowMs);
      }
      accept("a", TestJobs.step(1, 100));
      nowMs += 1_000;
      assertThat(onlyStanding(WaitReason.START_BUDGET).fitting()).isOne();
    }

    /** Guards against steps whose limit for each worker keeps them waiting, shown as no worker. */
    @Test
    void shouldShowALimitForEachWorkerThatThePoolIsTooSmallFor() {
      begin(TestJobs.config(0, 9));
      accept("a", TestJobs.longRunningStep(3, 1, 0));
      startAll(9_000);
      nowMs += 1_000;
      report();
      StandingWork work = onlyStanding(WaitReason.WORKER_LIMIT);
      assertThat(work.tasks()).isEqualTo(2);
      assertThat(work.details()).isEqualTo("max_per_worker=1");
    }

    /** Guards against a round that leaves steps waiting without a trace of which came before. */
    @Test
    void shouldCountTheStepsThatARoundLeftWaitingAndNameWhatWorkersAreKeptFor() {
      begin(TestJobs.config(0, 9));
      accept("short", TestJobs.step(1, 1_000));
      startAll(9_000);
      accept("spread", TestJobs.longRunningStep(2, 1, 0));
      startAll(9_000);
      accept("large", StepSpec.ofLongRunningTasks(1, new Resources(7_200, 1_000, 0), "", 0, 0));
      accept("small", TestJobs.step(1, 100));
      decide();
      assertThat(scheduler.waits(nowMs, nowMs).unplaced())
          .singleElement()
          .returns(
              "pool=compute steps=3 reasons=worker-limit:1,no-capacity:1,worker-kept:1"
                  + " kept_workers=1 kept_for=large.0.0.0",
              UnplacedSteps::fields);
    }

    /** Guards against gangs that are shown as standing, or stand, behind others without room. */
    @Test
    void shouldShowOnlyTheGangsWithoutRoomThatComeBeforeOneWithRoom() {
      begin(TestJobs.config(0, 9));
      for (int i = 0; i < 24; i++) {
        accept("huge" + i, TestJobs.gangStep(2, 9_000 + i));
      }
      nowMs++;
      accept("small", TestJobs.gangStep(2, 100));
      nowMs += 1_000;
      report();
      startAll(9_000);
      report();
      StandingWork work = onlyStanding(WaitReason.NO_WORKER);
      assertThat(work.jobs()).isEqualTo(24);
      assertThat(work.jobId()).isEqualTo("huge0");
    }

    @Test
    void shouldShowAGangThatDoesNotFit() {
      begin(TestJobs.config(0, 9));
      accept("a", TestJobs.gangStep(3, 3_000));
      nowMs += 1_000;
      assertThat(onlyStanding(WaitReason.GANG_DOES_NOT_FIT).tasks()).isEqualTo(3);
    }

    @Test
    void shouldShowThatNoTicketHasBeenIssued() {
      QueueConfig queue =
          new QueueConfig(
              TestJobs.QUEUE,
              "host",
              "/batch/",
              TestJobs.SERVICE,
              0,
              9,
              1.6,
              600,
              false,
              Optional.of(new QueueConfig.AdviceTimes(10, 10, 1_000)));
      begin(
          new FleetConfig(
              1, List.of(queue), List.of(), List.of(), FleetConfig.CallerLimits.DEFAULT));
      accept("a", TestJobs.step(1, 1_000));
      nowMs += 1_000;
      onlyStanding(WaitReason.NO_TICKET);
    }

    /** Guards against a suspect whose wait for a worker of its own is shown as lack of room. */
    @Test
    void shouldShowASuspectThatWaitsForAWorkerOfItsOwn() {
      begin(TestJobs.config(0, 9));
      accept("a", TestJobs.step(1, 1_000));
      startAll(9_000);
      nowMs += 100;
      worker.crash(nowMs);
      scheduler.updateWorkerListings(List.of(worker.listing()), nowMs);
      report();
      nowMs += 1_000;
      accept("b", TestJobs.longRunningStep(1, 0, 0));
      assertThat(onlyStanding(WaitReason.ISOLATION).jobId()).isEqualTo("a");
    }
  }
}
