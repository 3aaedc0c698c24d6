package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.QueueConfig;
import org.laburnumarch.internal.job.QueueConfig.AdviceTimes;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/** Steps of a queue whose tasks may start only on workers that the advisory service allows. */
class AdvisedStepsTest {

  private static final long START_MS = 1_000_000;
  private static final long ROUND_MS = 100;
  private static final long NEVER_MS = Long.MAX_VALUE / 2;
  private static final long VALIDITY_MS = 60_000;
  private static final AdviceTimes TIMES = new AdviceTimes(10, 5, VALIDITY_MS);
  private static final Resources WHOLE_WORKER = new Resources(8_000, 1_000, 0);

  private record PendingAdvice(AdviceQuery query, long answeredAtMs) {}

  private final Scheduler scheduler = new Scheduler(TestJobs.SETTINGS, 1, START_MS, false);
  private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
  private final List<PendingAdvice> pendingAdvice = new ArrayList<>();

  /** The worker of each started job. */
  private final Map<String, String> workerByJob = new HashMap<>();

  /** The tickets that the workers accept; a restart ends them. */
  private final Map<String, String> validTickets = new HashMap<>();

  private int refusedStarts;
  private long nowMs = START_MS;

  private void begin(int workerCount) {
    for (String id : IntStream.range(0, workerCount).mapToObj(number -> "w" + number).toList()) {
      workers.put(id, new SimulatedWorker(id, TestJobs.SERVICE, "r1", START_MS));
    }
    scheduler.configure(
        new FleetConfig(
            1,
            List.of(queue("plain", Optional.empty()), queue("advised", Optional.of(TIMES))),
            List.of(),
            List.of(),
            FleetConfig.CallerLimits.DEFAULT));
    scheduler.updateWorkerListings(
        workers.values().stream().map(SimulatedWorker::listing).toList(), START_MS);
    scheduler.confirmEnrolment(scheduler.workersToEnrol());
  }

  private static QueueConfig queue(String name, Optional<AdviceTimes> advice) {
    return new QueueConfig(
        name, "host", "/" + name + '/', TestJobs.SERVICE, 0, 9, 1.6, 600, true, advice);
  }

  private void accept(String queue, String id, StepSpec step) {
    scheduler.accept(new JobSpec(id, queue, "", "program", List.of(step), 0, 0, 0, nowMs), nowMs);
  }

  /** Runs the scheduler for some seconds, with tasks that do not end. */
  private void runRounds(Set<String> allowedWorkers) {
    for (long untilMs = nowMs + 5_000; nowMs < untilMs; nowMs += ROUND_MS) {
      scheduler.onOwnershipProven(nowMs);
      workers.values().forEach(this::report);
      pendingAdvice.removeIf(pending -> answer(pending, allowedWorkers));
      Decisions decisions = scheduler.decide(nowMs, nowMs);
      decisions
          .queries()
          .forEach(
              query ->
                  pendingAdvice.add(
                      new PendingAdvice(
                          query,
                          nowMs
                              + TIMES.decisionMs()
                              + TIMES.intervalMs() * query.workerIds().size())));
      decisions.orders().forEach(this::execute);
    }
  }

  private void report(SimulatedWorker worker) {
    scheduler
        .renewal(worker.id(), nowMs)
        .ifPresent(
            renewal ->
                scheduler.onReport(worker.id(), worker.renew(renewal, 1, nowMs), nowMs, nowMs));
  }

  private boolean answer(PendingAdvice pending, Set<String> allowedWorkers) {
    boolean isAnswered = pending.answeredAtMs() <= nowMs;
    if (isAnswered) {
      Map<String, String> tickets =
          pending.query().workerIds().stream()
              .filter(allowedWorkers::contains)
              .collect(Collectors.toMap(id -> id, id -> "ticket" + nowMs));
      validTickets.putAll(tickets);
      scheduler.onAdvice(pending.query(), tickets, VALIDITY_MS, nowMs);
    }
    return isAnswered;
  }

  private void execute(Order order) {
    if (order instanceof Order.Start start) {
      SimulatedWorker worker = workers.get(start.workerId());
      boolean isRefused =
          !start.ticket().isEmpty() && !start.ticket().equals(validTickets.get(start.workerId()));
      refusedStarts += isRefused ? 1 : 0;
      Behaviour behaviour = new Behaviour(NEVER_MS, false, Resources.NONE);
      OrderReply reply =
          isRefused
              ? new OrderReply(OrderReply.Outcome.TICKET, worker.clockMs(nowMs))
              : worker.start(start, 1, behaviour, nowMs);
      scheduler.onStartReply(start, reply, nowMs);
      if (reply.outcome() == OrderReply.Outcome.OBEYED) {
        workerByJob.put(
            start.taskName().substring(0, start.taskName().indexOf('.')), start.workerId());
      }
    }
  }

  private static StepSpec longRunning(Resources need) {
    return StepSpec.ofLongRunningTasks(1, need, "", 0, 0);
  }

  /** Guards against requests that always name the same part of a large pool. */
  @Test
  void shouldStartOnTheOnlyAllowedWorkerOfALargePool() {
    begin(70);
    accept("advised", "a", TestJobs.step(1, 1_000));
    runRounds(Set.of("w69"));
    assertThat(workerByJob).containsEntry("a", "w69");
  }

  /** Guards against tickets for full workers only, beside which no others are requested. */
  @Test
  void shouldStartOnAnotherAllowedWorkerWhileTheFirstIsFull() {
    begin(70);
    accept("advised", "first", longRunning(WHOLE_WORKER));
    runRounds(Set.of("w0", "w69"));
    accept("advised", "second", longRunning(WHOLE_WORKER));
    runRounds(Set.of("w0", "w69"));
    assertThat(workerByJob.values()).containsExactlyInAnyOrder("w0", "w69");
  }

  /** Guards against short tasks that stand beside a worker which a task waits for in vain. */
  @Test
  void shouldNotKeepAWorkerForATaskThatIsNotAllowedThere() {
    begin(2);
    accept("plain", "full", longRunning(WHOLE_WORKER));
    runRounds(Set.of());
    assertThat(workerByJob).containsEntry("full", "w0");
    accept("advised", "waiting", longRunning(new Resources(1_000, 1_000, 0)));
    runRounds(Set.of("w0"));
    accept("plain", "short", TestJobs.step(1, 1_000));
    runRounds(Set.of("w0"));
    assertThat(workerByJob).containsEntry("short", "w1").doesNotContainKey("waiting");
  }

  /** Guards against starts with a ticket that ended with the worker's earlier incarnation. */
  @Test
  void shouldRequestAnotherTicketAfterARestartOfTheWorker() {
    begin(1);
    accept("advised", "a", longRunning(WHOLE_WORKER));
    runRounds(Set.of("w0"));
    assertThat(workerByJob).containsEntry("a", "w0");
    workerByJob.clear();
    validTickets.clear();
    SimulatedWorker worker = workers.get("w0");
    worker.crash(nowMs);
    scheduler.updateWorkerListings(List.of(worker.listing()), nowMs);
    runRounds(Set.of("w0"));
    assertThat(workerByJob).containsEntry("a", "w0");
    assertThat(refusedStarts).isEqualTo(1);
  }
}
