package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.admission.Admission;
import org.laburnumarch.internal.admission.Admission.Refusal;
import org.laburnumarch.internal.job.JobProgress;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/**
 * Plays overloads with shares and admission in virtual time: ten workers of 8 cores, jobs of 8
 * tasks of 1 s, so that the pool does 10 jobs a second. Their objective is 2.2 s, and they are
 * worthless after 6.6 s. Refused callers come back after the whole seconds that they are told.
 */
class OverloadScenarioTest {

  private static final long STEP_MS = 20;
  private static final long WORTHLESS_MS = 6_600;
  private static final double POOL_JOBS_PER_S = 10;

  private record Call(long atMs, String id, String team, long firstRefusedAtMs) {}

  private record Outcome(String team, long acceptedAtMs, long doneAtMs) {}

  /** Jobs per second of each team at a time. */
  private interface Rates {
    Map<String, Double> at(long ms);
  }

  /** One play. */
  private static final class Play {
    private Admission admission = new Admission();
    private final Scheduler scheduler = new Scheduler(TestJobs.SETTINGS, 1, 0, false);
    private final List<SimulatedWorker> workers = new ArrayList<>();
    private final PriorityQueue<Call> calls =
        new PriorityQueue<>(
            Comparator.comparingLong(Call::atMs).thenComparingLong(Call::firstRefusedAtMs));
    private final Map<String, Outcome> jobs = new LinkedHashMap<>();
    private final Map<String, List<Long>> firstRefusals = new HashMap<>();
    private final Map<String, Integer> refusals = new HashMap<>();
    private final Map<Long, Integer> invitedBySecond = new HashMap<>();
    private final Random random;
    private long storeDownFromMs = Long.MAX_VALUE;
    private long storeDownUntilMs = Long.MAX_VALUE;
    private long takeoverAtMs = Long.MAX_VALUE;
    private long rackLostAtMs = Long.MAX_VALUE;
    private long drainMs = 60_000;
    private long nowMs;

    Play(long seed) {
      random = new Random(seed);
      scheduler.configure(
          TestJobs.configOfTeams(
              1.6,
              600,
              TestJobs.team("a", 4, 0),
              TestJobs.team("b", 2, 0),
              TestJobs.team("c", 2, 0)));
      for (int i = 0; i < 10; i++) {
        workers.add(new SimulatedWorker("w" + i, TestJobs.SERVICE, i < 5 ? "r1" : "r2", 0));
      }
      listWorkers();
    }

    void listWorkers() {
      scheduler.updateWorkerListings(
          workers.stream().map(SimulatedWorker::listing).toList(), nowMs);
      scheduler.confirmEnrolment(scheduler.workersToEnrol());
    }

    /** Asks admission about one more job of the team b. */
    Optional<Refusal> decide(StepSpec step, int repeatCount) {
      return decide(new JobSpec("x", "q1", "b", "", List.of(step), repeatCount, nowMs, 10, nowMs));
    }

    private Optional<Refusal> decide(JobSpec job) {
      return scheduler
          .submission(job, service -> OptionalInt.of(0), nowMs, nowMs)
          .flatMap(submission -> admission.decide(submission, nowMs));
    }

    Play run(long lastArrivalMs, Rates rates) throws IOException {
      int count = 0;
      while (nowMs < lastArrivalMs + drainMs) {
        nowMs += STEP_MS;
        if (nowMs < lastArrivalMs) {
          for (Map.Entry<String, Double> rate : rates.at(nowMs).entrySet()) {
            double left = rate.getValue() * STEP_MS / 1_000;
            for (; left > 0 && random.nextDouble() < left; left--) {
              calls.add(new Call(nowMs, "j" + count++, rate.getKey(), 0));
            }
          }
        }
        if (nowMs == takeoverAtMs) {
          byte[] stored = admission.record(nowMs, nowMs + 100);
          admission = new Admission();
          admission.restore(stored, nowMs, nowMs + 100);
        }
        while (!calls.isEmpty() && calls.peek().atMs() <= nowMs) {
          submit(calls.poll());
        }
        workers.forEach(this::report);
        scheduler.onOwnershipProven(nowMs);
        for (Order order : scheduler.decide(nowMs, nowMs).orders()) {
          carryOut(order);
        }
        if (isStoreUp()) {
          scheduler.takeChanges().ifPresent(this::store);
        }
      }
      return this;
    }

    private boolean isStoreUp() {
      return nowMs < storeDownFromMs || nowMs >= storeDownUntilMs;
    }

    private void submit(Call call) {
      if (!isStoreUp()) {
        calls.add(new Call(nowMs + 1_000, call.id(), call.team(), call.firstRefusedAtMs()));
        return;
      }
      JobSpec job =
          new JobSpec(call.id(), "q1", call.team(), "", List.of(longStep()), 0, 0, 0, nowMs);
      Optional<Refusal> refusal = decide(job);
      if (refusal.isEmpty()) {
        scheduler.accept(job, nowMs);
        jobs.put(call.id(), new Outcome(call.team(), nowMs, -1));
        if (call.firstRefusedAtMs() > 0) {
          firstRefusals
              .computeIfAbsent(call.team(), name -> new ArrayList<>())
              .add(call.firstRefusedAtMs());
        }
        return;
      }
      long afterMs = (refusal.get().retryAfterMs() + 999) / 1_000 * 1_000;
      assertThat(afterMs).isEqualTo(refusal.get().retryAfterMs()).isPositive();
      refusals.merge(call.team(), 1, Integer::sum);
      invitedBySecond.merge((nowMs + afterMs) / 1_000, 1, Integer::sum);
      long first = call.firstRefusedAtMs() == 0 ? nowMs : call.firstRefusedAtMs();
      calls.add(new Call(nowMs + afterMs, call.id(), call.team(), first));
    }

    private static StepSpec longStep() {
      return StepSpec.ofTasks(8, new Resources(1_000, 1_000, 0), 1_000, List.of());
    }

    private boolean isLost(SimulatedWorker worker) {
      return nowMs >= rackLostAtMs && worker.rack().equals("r1");
    }

    private void report(SimulatedWorker worker) {
      Optional<Renewal> renewal = scheduler.renewal(worker.id(), nowMs);
      if (renewal.isPresent() && isLost(worker)) {
        scheduler.onReportMissed(worker.id(), ReportFailure.NO_ANSWER, nowMs, nowMs);
      } else if (renewal.isPresent()) {
        scheduler.onReport(worker.id(), worker.renew(renewal.get(), 1, nowMs), nowMs, nowMs);
      }
    }

    private void carryOut(Order order) {
      SimulatedWorker worker =
          workers.stream().filter(it -> it.id().equals(order.workerId())).findFirst().orElseThrow();
      if (order instanceof Order.Start start) {
        Behaviour behaviour = new Behaviour(nowMs + 1_000, false, Resources.NONE);
        OrderReply lost = new OrderReply(OrderReply.Outcome.UNREACHABLE, -1);
        scheduler.onStartReply(
            start, isLost(worker) ? lost : worker.start(start, 1, behaviour, nowMs), nowMs);
      }
    }

    private void store(JobChanges changes) {
      scheduler.confirmStored(changes, nowMs);
      for (JobProgress progress : changes.progress()) {
        if (progress.status().isFinal()) {
          jobs.computeIfPresent(
              progress.id(), (id, job) -> new Outcome(job.team(), job.acceptedAtMs(), nowMs));
        }
      }
    }

    /** Checks what holds in every overload. */
    Play check() {
      assertThat(jobs.values()).as("accepted jobs are done").noneMatch(job -> job.doneAtMs() < 0);
      assertThat(calls).as("refused callers have been served").isEmpty();
      assertThat(invitedBySecond.values())
          .as("callers invited for one second")
          .allMatch(invited -> invited <= POOL_JOBS_PER_S + 1);
      assertThat(firstRefusals.values())
          .as("callers return in the order of their first refusals")
          .allSatisfy(times -> assertThat(times).isSorted());
      return this;
    }

    double worthlessPart(String team) {
      List<Outcome> own = jobs.values().stream().filter(it -> it.team().equals(team)).toList();
      long late =
          own.stream().filter(it -> it.doneAtMs() - it.acceptedAtMs() > WORTHLESS_MS).count();
      return (double) late / own.size();
    }
  }

  private static Map<String, Double> rates(double a, double b, double c) {
    return new TreeMap<>(Map.of("a", a, "b", b, "c", c));
  }

  /** Guards against refusals below capacity. */
  @Test
  void shouldRefuseNothingBelowCapacity() throws IOException {
    Play play = new Play(1).run(30_000, ms -> rates(3, 1.5, 1.5)).check();
    assertThat(play.refusals).isEmpty();
    assertThat(play.worthlessPart("a")).isZero();
  }

  /** Guards against a peak in which all jobs wait until none is worth anything. */
  @Test
  void shouldServeAgreedJobsInAPeakOfFiveTimesTheMean() throws IOException {
    Play play =
        new Play(2).run(25_000, ms -> ms < 10_000 ? rates(3, 35, 2) : rates(2, 1, 1)).check();
    assertThat(play.refusals.keySet()).containsExactly("b");
    assertThat(play.worthlessPart("a")).isZero();
  }

  /**
   * Guards against a flood that is accepted although it cannot be done, also when the owner
   * changes.
   */
  @Test
  void shouldRefuseAFloodThatCannotBeDone() throws IOException {
    Play play = new Play(3);
    play.takeoverAtMs = 4_000;
    play.run(8_000, ms -> rates(1, ms < 5_000 ? 60 : 0, 1)).check();
    assertThat(play.refusals.get("b")).isGreaterThan(50);
    assertThat(play.refusals).doesNotContainKeys("a", "c");
    assertThat(play.worthlessPart("a") + play.worthlessPart("c")).isZero();
  }

  /** Guards against one team at ten times its share that costs others theirs. */
  @Test
  void shouldKeepOneTeamAtTenTimesItsShareFromCostingOthers() throws IOException {
    Play play = new Play(4).run(20_000, ms -> rates(3.5, 20, 1.5)).check();
    assertThat(play.refusals.keySet()).isSubsetOf("b");
    assertThat(play.worthlessPart("a") + play.worthlessPart("c")).isZero();
  }

  /** Guards against jobs that are lost or refused for want of the store. */
  @Test
  void shouldServeAllAfterTheStoreWasDown() throws IOException {
    Play play = new Play(5);
    play.storeDownFromMs = 5_000;
    play.storeDownUntilMs = 13_000;
    play.run(20_000, ms -> rates(3, 1.5, 1.5)).check();
    assertThat(play.refusals.keySet()).doesNotContain("a");
  }

  /** Guards against an estimate that counts on a rack that has left. */
  @Test
  void shouldFollowTheLossOfARack() throws IOException {
    Play play = new Play(6);
    play.rackLostAtMs = 5_000;
    play.run(25_000, ms -> rates(1.5, 8, 0.5)).check();
    assertThat(play.refusals.keySet()).isSubsetOf("b");
  }

  /** Guards against refusals of jobs whose end nobody knows, or that wait for another worker. */
  @Test
  void shouldAcceptJobsThatMayNotBeRefused() throws IOException {
    Play play = new Play(7);
    play.drainMs = 100;
    play.run(0, ms -> Map.of());
    for (int i = 0; i < 400; i++) {
      play.scheduler.accept(
          new JobSpec("j" + i, "q1", "b", "", List.of(Play.longStep()), 0, 0, 0, play.nowMs),
          play.nowMs);
    }
    play.scheduler.decide(play.nowMs, play.nowMs);
    assertThat(play.decide(Play.longStep(), 0)).isPresent();
    assertThat(play.decide(Play.longStep(), 3)).as("timed").isEmpty();
    assertThat(play.decide(TestJobs.longRunningStep(2, 0, 0), 0)).as("long-running").isEmpty();
    assertThat(play.decide(TestJobs.step(1, 9_000), 0)).as("too large").isEmpty();
    play.workers.add(new SimulatedWorker("new", TestJobs.SERVICE, "r1", play.nowMs));
    play.listWorkers();
    assertThat(play.decide(Play.longStep(), 0)).as("unknown pool").isEmpty();
  }
}
