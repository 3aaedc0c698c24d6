package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/** Tests for which workers a step asks the advisory service. */
class AdviceTest {

  private static final long START_MS = 1_000_000;
  private static final long VALIDITY_MS = 60_000;

  private final Scheduler scheduler = new Scheduler(TestJobs.SETTINGS, 1, START_MS, false);
  private final List<SimulatedWorker> workers = new ArrayList<>();
  private final List<String> startedOn = new ArrayList<>();
  private long nowMs = START_MS;
  private AdviceQuery lastQuery;

  private void begin(int workerCount) {
    for (int i = 0; i < workerCount; i++) {
      workers.add(new SimulatedWorker("w" + i, TestJobs.SERVICE, "r1", START_MS));
    }
    scheduler.configure(TestJobs.configWithAdvice());
    scheduler.updateWorkerListings(
        workers.stream().map(SimulatedWorker::listing).toList(), START_MS);
    scheduler.confirmEnrolment(scheduler.workersToEnrol());
    scheduler.accept(TestJobs.advisedJob("a", nowMs, TestJobs.longRunningStep(2, 1, 0)), nowMs);
  }

  /** Returns the workers that the step asks for in a round a second later. */
  private List<String> round() {
    nowMs += 1_000;
    scheduler.onOwnershipProven(nowMs);
    for (SimulatedWorker worker : workers) {
      scheduler
          .renewal(worker.id(), nowMs)
          .ifPresent(
              renewal ->
                  scheduler.onReport(worker.id(), worker.renew(renewal, 1, nowMs), nowMs, nowMs));
    }
    Decisions decisions = scheduler.decide(nowMs, nowMs);
    for (Order order : decisions.orders()) {
      if (order instanceof Order.Start start) {
        int number = Integer.parseInt(start.workerId().substring(1));
        Behaviour behaviour = new Behaviour(Long.MAX_VALUE / 2, false, Resources.NONE);
        scheduler.onStartReply(start, workers.get(number).start(start, 1, behaviour, nowMs), nowMs);
        startedOn.add(start.workerId());
      }
    }
    decisions.queries().forEach(query -> lastQuery = query);
    return decisions.queries().stream().flatMap(query -> query.workerIds().stream()).toList();
  }

  private void advise(String... allowed) {
    Map<String, String> tickets = new HashMap<>();
    for (String id : allowed) {
      tickets.put(id, "ticket");
    }
    scheduler.onAdvice(lastQuery, tickets, VALIDITY_MS, nowMs);
  }

  /** Guards against tasks that stand while a worker has room that took no tasks at first. */
  @Test
  void shouldBeAskedForAWorkerThatTakesTasksOnlyLater() {
    begin(2);
    scheduler.setCordonedWorkers(Set.of("w1"));
    assertThat(round()).containsExactly("w0");
    advise("w0");
    round();
    assertThat(startedOn).containsExactly("w0");
    scheduler.setCordonedWorkers(Set.of());
    assertThat(round()).containsExactly("w1");
    advise("w1");
    round();
    assertThat(startedOn).containsExactly("w0", "w1");
  }

  /** Guards against calls in each round for workers that are not allowed. */
  @Test
  void shouldNotBeAskedAgainForWorkersThatAreNotAllowed() {
    begin(2);
    assertThat(round()).containsExactly("w0", "w1");
    advise("w0");
    assertThat(round()).isEmpty();
    assertThat(round()).isEmpty();
  }

  /** Guards against a step that asks for the same 30 workers again and again. */
  @Test
  void shouldBeAskedForTheOthersIfNoneOfTheFirstWorkersIsAllowed() {
    begin(31);
    assertThat(round()).doesNotContain("w30");
    advise();
    assertThat(round()).containsExactly("w30");
  }
}
