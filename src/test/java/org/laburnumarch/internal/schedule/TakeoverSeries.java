package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.JobProgress;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/**
 * Owners that follow one another over the same simulated workers, in virtual time. Fails when two
 * runs of a task go on at the same time, or when a task starts again after a run has ended as done
 * and that end is acknowledged before or after the start.
 */
final class TakeoverSeries {

  private static final long STEP_MS = 50;
  private static final long RENEW_EVERY_MS = 500;

  /** Time that a restart right before a start order takes. */
  private static final long QUICK_RESTART_MS = 150;

  /** Time from the end of a worker's process to the start of the next one under its id. */
  private static final long RESTART_MS = 300;

  /** Time from the start of that process until the owner reads its entry in the registry. */
  private static final long REGISTRATION_MS = 200;

  private record OldListing(WorkerListing listing, long untilMs) {}

  private record LateReport(WorkerReport report, long requestedAtMs, long arrivesAtMs) {}

  long nowMs = 1_000_000;
  Scheduler scheduler;
  private long term;
  private long claimedAtMs;
  private long renewedAtMs;
  private long earlierOrdersOverAtMs = Long.MAX_VALUE;
  private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
  private final Set<String> departed = new HashSet<>();
  private final Set<String> cutOff = new HashSet<>();
  private final Set<String> restartingBeforeStart = new HashSet<>();
  private final Map<String, WorkerListing> frozenListings = new HashMap<>();
  private final Map<String, Long> restartsAtMs = new HashMap<>();
  private final Map<String, OldListing> oldListings = new HashMap<>();
  private final Map<String, Long> transitsMs = new HashMap<>();
  private final Map<String, LateReport> lateReports = new HashMap<>();
  private final Map<String, WorkerListing> enrolled = new LinkedHashMap<>();
  private final Map<String, JobSpec> jobs = new LinkedHashMap<>();
  private final Map<String, JobProgress> progress = new HashMap<>();
  private final Map<String, LongUnaryOperator> runEnds = new HashMap<>();
  private final DoneTasks doneTasks = new DoneTasks();
  private FleetConfig config = TestJobs.config(0, 3);
  private boolean isStoreDown;

  TakeoverSeries(int workerCount) {
    for (int i = 0; i < workerCount; i++) {
      addWorker("w" + i);
    }
    begin(new Scheduler(TestJobs.SETTINGS, ++term, nowMs, false));
  }

  void addWorker(String id) {
    addWorker(id, 1);
  }

  /** Adds a worker whose clock runs at a rate of 0.98 to 1. */
  void addWorker(String id, double clockRate) {
    workers.put(id, new SimulatedWorker(id, TestJobs.SERVICE, "r", nowMs, clockRate, doneTasks));
  }

  /** Adds a worker to the pool of another service. */
  void addWorkerOf(String service, String id) {
    workers.put(id, new SimulatedWorker(id, service, "r", nowMs, 1, doneTasks));
  }

  /** Sends the queue to the pool of another service. */
  void route(String service) {
    config = TestJobs.config(0, 3, service);
    scheduler.configure(config);
  }

  /** Keeps progress from being stored, so that a later owner does not find it. */
  void setStoreDown(boolean isDown) {
    isStoreDown = isDown;
  }

  /** Ends a worker's process for good; no instance runs it any more. */
  void depart(String id) {
    workers.get(id).crash(nowMs);
    departed.add(id);
  }

  /** Refuses all connections to a worker, which goes on running until its leases expire. */
  void cutOff(String id) {
    cutOff.add(id);
  }

  /** Ends a worker's process; the next one under its id starts a little later. */
  void restart(String id) {
    SimulatedWorker worker = workers.get(id);
    oldListings.put(id, new OldListing(worker.listing(), nowMs + RESTART_MS + REGISTRATION_MS));
    restartsAtMs.put(id, nowMs + RESTART_MS);
    worker.crash(nowMs);
  }

  /** Lets the next report of a worker arrive late, even if its process has ended by then. */
  void delayNextReport(String id, long transitMs) {
    transitsMs.put(id, transitMs);
  }

  void reconnect(String id) {
    cutOff.remove(id);
  }

  /** Restarts a worker under its id right before its next start order arrives. */
  void restartBeforeNextStart(String id) {
    restartingBeforeStart.add(id);
  }

  /** Keeps a worker's entry in the registry as it is. */
  void freezeListing(String id) {
    frozenListings.put(id, workers.get(id).listing());
  }

  /** Makes a worker's entry in the registry follow the worker again. */
  void unfreezeListing(String id) {
    frozenListings.remove(id);
  }

  /** Accepts a job of which each run takes some time. */
  void accept(JobSpec job, long runMs) {
    accept(job, startedAtMs -> startedAtMs + runMs);
  }

  /** Accepts a job of which all runs end at the same time. */
  void acceptUntil(JobSpec job, long endsAtMs) {
    accept(job, startedAtMs -> endsAtMs);
  }

  private void accept(JobSpec job, LongUnaryOperator runEnd) {
    JobSpec stored = scheduler.withService(job);
    jobs.put(job.id(), stored);
    runEnds.put(job.id(), runEnd);
    scheduler.accept(stored, nowMs);
  }

  /** Lets the owner stop in an orderly way and the next one take over. */
  void handOver() {
    RunLocations locations = scheduler.runLocations();
    takeOver();
    scheduler.restoreRunLocations(locations, nowMs);
  }

  /** Lets the owner's process end and the next one take over. */
  void takeOver() {
    long earlierClaimedAtMs = claimedAtMs;
    takeOverFromRunningOwner();
    scheduler.onEarlierOwnerStopped(earlierClaimedAtMs, nowMs);
  }

  /** Lets the owner's process end and the next one take over with another route of the queue. */
  void takeOverWith(String service) {
    config = TestJobs.config(0, 3, service);
    takeOver();
  }

  /** Lets the next owner take over without knowing whether the earlier one has stopped. */
  void takeOverFromRunningOwner() {
    Scheduler next = new Scheduler(TestJobs.SETTINGS, ++term, nowMs, true);
    next.onEarlierOrdersBounded(earlierOrdersOverAtMs);
    enrolled.values().forEach(next::restoreEnrolled);
    begin(next);
    jobs.forEach(
        (id, job) -> next.restore(job, Optional.ofNullable(progress.get(id)), nowMs, nowMs));
    claimedAtMs = nowMs;
    renewedAtMs = nowMs;
    earlierOrdersOverAtMs = Long.MAX_VALUE;
  }

  /** Stores what the next owner reads a step later. */
  private void renew() {
    if (nowMs - renewedAtMs >= RENEW_EVERY_MS) {
      renewedAtMs = nowMs;
      earlierOrdersOverAtMs =
          Math.min(earlierOrdersOverAtMs, nowMs + STEP_MS + scheduler.earlierOrdersLeftMs(nowMs));
    }
  }

  private void begin(Scheduler next) {
    lateReports.clear();
    scheduler = next;
    scheduler.configure(config);
    listWorkers();
  }

  /** Lets time pass in which the owner does nothing. */
  void freeze(long durationMs) {
    nowMs += durationMs;
    workers.values().forEach(worker -> worker.advance(nowMs));
  }

  private WorkerListing listing(SimulatedWorker worker) {
    OldListing old = oldListings.get(worker.id());
    WorkerListing newest = old != null && nowMs < old.untilMs() ? old.listing() : worker.listing();
    return frozenListings.getOrDefault(worker.id(), newest);
  }

  private void listWorkers() {
    scheduler.updateWorkerListings(
        workers.values().stream()
            .filter(worker -> !departed.contains(worker.id()))
            .map(this::listing)
            .toList(),
        nowMs);
    List<WorkerListing> known = scheduler.workersToEnrol();
    known.forEach(listing -> enrolled.put(listing.id(), listing));
    scheduler.confirmEnrolment(known);
  }

  /** Lets time pass; orders and reports take none. */
  void advance(long durationMs) {
    for (long untilMs = nowMs + durationMs; nowMs < untilMs; nowMs += STEP_MS) {
      startRestarted();
      listWorkers();
      List.copyOf(scheduler.workerIds()).forEach(this::report);
      listInstances();
      if (!isStoreDown) {
        scheduler.takeChanges().ifPresent(this::store);
      }
      renew();
      scheduler.onOwnershipProven(nowMs);
      scheduler.decide(nowMs, nowMs).orders().forEach(this::deliver);
      assertNoTaskRunsTwice();
    }
  }

  private void store(JobChanges changes) {
    changes.progress().forEach(stored -> progress.put(stored.id(), stored));
    scheduler.confirmStored(changes, nowMs);
  }

  private void listInstances() {
    if (scheduler.needsInstanceList(nowMs)) {
      Set<String> running = new HashSet<>(workers.keySet());
      running.removeAll(departed);
      scheduler.onInstancesListed(running, nowMs);
    }
  }

  private boolean isReachable(String id) {
    return !departed.contains(id) && !cutOff.contains(id) && !restartsAtMs.containsKey(id);
  }

  private void startRestarted() {
    restartsAtMs
        .entrySet()
        .removeIf(
            restart -> {
              boolean isDue = nowMs >= restart.getValue();
              if (isDue) {
                workers.get(restart.getKey()).crash(nowMs);
              }
              return isDue;
            });
  }

  private void report(String id) {
    LateReport late = lateReports.get(id);
    if (late != null) {
      if (nowMs >= late.arrivesAtMs()) {
        lateReports.remove(id);
        scheduler.onReport(id, late.report(), late.requestedAtMs(), nowMs).forEach(this::deliver);
      }
      return;
    }
    scheduler
        .renewal(id, nowMs)
        .ifPresent(
            renewal -> {
              if (isReachable(id)) {
                WorkerReport report = workers.get(id).renew(renewal, term, nowMs);
                Long transitMs = transitsMs.remove(id);
                if (transitMs != null) {
                  lateReports.put(id, new LateReport(report, nowMs, nowMs + transitMs));
                  return;
                }
                scheduler.onReport(id, report, nowMs, nowMs).forEach(this::deliver);
              } else {
                scheduler.onReportMissed(id, ReportFailure.CONNECTION_REFUSED, nowMs, nowMs);
              }
            });
  }

  private void deliver(Order order) {
    SimulatedWorker worker = workers.get(order.workerId());
    boolean isReachable = isReachable(order.workerId());
    if (order instanceof Order.Start start) {
      if (restartingBeforeStart.remove(order.workerId())) {
        nowMs += QUICK_RESTART_MS;
        worker.crash(nowMs);
      }
      String jobId = start.taskName().substring(0, start.taskName().indexOf('.'));
      long endsAtMs = runEnds.get(jobId).applyAsLong(nowMs);
      OrderReply reply =
          isReachable
              ? worker.start(start, term, new Behaviour(endsAtMs, false, Resources.NONE), nowMs)
              : new OrderReply(OrderReply.Outcome.UNREACHABLE, -1);
      scheduler.onStartReply(start, reply, nowMs);
    } else if (order instanceof Order.Stop stop) {
      OrderReply reply =
          isReachable
              ? worker.stop(stop, term, nowMs)
              : new OrderReply(OrderReply.Outcome.UNKNOWN, -1);
      scheduler.onStopReply(stop, reply, nowMs);
    }
  }

  private void assertNoTaskRunsTwice() {
    List<String> running = new ArrayList<>();
    for (SimulatedWorker worker : workers.values()) {
      worker.advance(nowMs);
      running.addAll(worker.runningTasks());
    }
    assertThat(running).doesNotHaveDuplicates();
  }

  /** Returns the names of the tasks that run on workers that are not cut off. */
  List<String> runningTasks() {
    return workers.values().stream()
        .filter(worker -> isReachable(worker.id()))
        .flatMap(worker -> worker.runningTasks().stream())
        .toList();
  }

  /** Returns the worker on which a task runs; empty if it runs on none. */
  Optional<String> workerOf(String taskName) {
    return workers.values().stream()
        .filter(worker -> worker.runningTasks().contains(taskName))
        .map(SimulatedWorker::id)
        .findFirst();
  }

  /** Returns the number of runs that have started. */
  int startCount() {
    return doneTasks.starts;
  }

  /** Fails when a task has started again after a run whose end as done counts. */
  private static final class DoneTasks implements SimulatedWorker.Observer {

    private final Set<String> acknowledged = new HashSet<>();
    private final Map<String, Set<Long>> doneRuns = new HashMap<>();

    /** Runs that had ended as done when their task started again. */
    private final Set<String> supersededRuns = new HashSet<>();

    private int starts;

    @Override
    public void onStart(SimulatedWorker worker, String task, long run) {
      starts++;
      assertThat(acknowledged).doesNotContain(task);
      doneRuns
          .getOrDefault(task, Set.of())
          .forEach(done -> supersededRuns.add(Worker.attemptKey(task, done)));
    }

    @Override
    public void onEnd(SimulatedWorker worker, EndedTask end) {
      if (end.how() == EndKind.DONE) {
        doneRuns.computeIfAbsent(end.taskName(), task -> new HashSet<>()).add(end.run());
      }
    }

    @Override
    public void onAcknowledged(SimulatedWorker worker, EndedTask end) {
      if (end.how() == EndKind.DONE) {
        assertThat(supersededRuns).doesNotContain(Worker.attemptKey(end.taskName(), end.run()));
        acknowledged.add(end.taskName());
      }
    }

    @Override
    public void onLost(SimulatedWorker worker, String task, long run) {
      // The task may start again.
    }
  }
}
