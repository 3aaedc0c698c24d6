package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laburnumarch.internal.job.JobCodec;
import org.laburnumarch.internal.job.JobProgress;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/** Tests that tasks which crash their workers are given up and others are not, in virtual time. */
class CrashingTaskTest {

  private static final long START_MS = 1_000_000;
  private static final long TERM = 1;
  private static final long RUN_MS = 600;
  private static final long CUT_MS = 5_500;
  private static final int WORKERS = 8;

  /** Time for which work that may run must not stand while its pool has room. */
  private static final long MAX_STANDING_MS = 3_000;

  private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
  private final Set<String> crashing = new HashSet<>();
  private final Map<String, ReportFailure> unreachable = new HashMap<>();
  private final Map<String, Integer> startsByTask = new LinkedHashMap<>();
  private long nowMs = START_MS;
  private long runMs = RUN_MS;
  private int crashes;
  private Scheduler scheduler;

  @BeforeEach
  void createScheduler() {
    for (int i = 0; i < WORKERS; i++) {
      workers.put("w" + i, new SimulatedWorker("w" + i, TestJobs.SERVICE, "r" + i / 4, nowMs));
    }
    scheduler = newScheduler(TERM);
    playUntil(nowMs + 100);
  }

  private Scheduler newScheduler(long term) {
    Scheduler created = new Scheduler(TestJobs.SETTINGS, term, nowMs, term > TERM);
    created.configure(TestJobs.config(10_000_000, 2));
    return created;
  }

  private void playUntil(long endMs) {
    for (; nowMs < endMs; nowMs += 20) {
      scheduler.updateWorkerListings(
          workers.values().stream().map(SimulatedWorker::listing).toList(), nowMs);
      scheduler.confirmEnrolment(scheduler.workersToEnrol());
      workers.values().forEach(this::report);
      if (scheduler.needsInstanceList(nowMs)) {
        scheduler.onInstancesListed(workers.keySet(), nowMs);
      }
      scheduler.onOwnershipProven(nowMs);
      scheduler.decide(nowMs, nowMs).orders().forEach(this::execute);
      scheduler.takeChanges().ifPresent(changes -> scheduler.confirmStored(changes, nowMs));
    }
  }

  private void report(SimulatedWorker worker) {
    Optional<Renewal> renewal = scheduler.renewal(worker.id(), nowMs);
    ReportFailure failure = unreachable.get(worker.id());
    if (failure != null) {
      renewal.ifPresent(
          request -> scheduler.onReportMissed(request.workerId(), failure, nowMs, nowMs));
      return;
    }
    renewal
        .map(request -> worker.renew(request, TERM, nowMs))
        .ifPresent(report -> scheduler.onReport(worker.id(), report, nowMs, nowMs));
  }

  private void execute(Order order) {
    SimulatedWorker worker = workers.get(order.workerId());
    if (order instanceof Order.Stop stop) {
      scheduler.onStopReply(stop, worker.stop(stop, TERM, nowMs), nowMs);
    } else if (order instanceof Order.Start start) {
      startsByTask.merge(start.taskName(), 1, Integer::sum);
      Behaviour behaviour = new Behaviour(nowMs + runMs, false, Resources.NONE);
      scheduler.onStartReply(start, worker.start(start, TERM, behaviour, nowMs), nowMs);
      if (crashing.contains(start.taskName())) {
        crashes++;
        worker.crash(nowMs + 1);
      }
    }
  }

  private String workerOf(String task) {
    return workers.values().stream()
        .filter(worker -> worker.runningTasks().contains(task))
        .map(SimulatedWorker::id)
        .findFirst()
        .orElseThrow();
  }

  private JobSpec accept(String id, int tasks) {
    JobSpec job = TestJobs.job(id, nowMs, TestJobs.step(tasks, 1_000));
    scheduler.accept(job, nowMs);
    return job;
  }

  /** Guards against giving up a task whose second worker happens to crash right after its start. */
  @Test
  void shouldNotGiveUpATaskAfterOnlyOneCrashRightAfterItsStart() {
    String task = "innocent.0.0.0";
    runMs = 2_000;
    accept("innocent", 1);
    playUntil(nowMs + 1_000);
    workers.get(workerOf(task)).crash(nowMs);
    while (startsByTask.get(task) < 2) {
      playUntil(nowMs + 20);
    }
    workers.get(workerOf(task)).crash(nowMs);
    playUntil(nowMs + 10_000);
    assertThat(scheduler.status("innocent")).contains(JobStatus.COMPLETED);
  }

  @Nested
  class ATaskThatCrashesItsWorkers {

    /** Guards against one task that crashes worker after worker without end. */
    @Test
    void shouldBeGivenUpAfterTwoCrashes() {
      crashing.add("deadly.0.0.0");
      accept("deadly", 1);
      playUntil(nowMs + 60_000);
      assertThat(startsByTask.get("deadly.0.0.0")).isEqualTo(2);
      assertThat(scheduler.status("deadly")).contains(JobStatus.FAILED);
    }

    /** Guards against giving up, or never finishing, tasks that only shared its workers. */
    @Test
    void shouldNotTakeOtherJobsDownWithIt() {
      crashing.add("deadly.0.0.3");
      crashing.add("deadlier.0.0.1");
      for (int i = 0; i < 12; i++) {
        accept("innocent" + i, 6);
      }
      accept("deadly", 6);
      accept("deadlier", 6);
      playUntil(nowMs + 60_000);
      assertThat(scheduler.status("deadly")).contains(JobStatus.FAILED);
      assertThat(scheduler.status("deadlier")).contains(JobStatus.FAILED);
      for (int i = 0; i < 12; i++) {
        assertThat(scheduler.status("innocent" + i)).contains(JobStatus.COMPLETED);
      }
      assertThat(crashes).isEqualTo(4);
    }

    /** Guards against counting from 0 again with each owner. */
    @Test
    void shouldBeGivenUpByALaterOwnerToo() throws IOException {
      crashing.add("deadly.0.0.0");
      JobSpec job = accept("deadly", 1);
      while (crashes == 0) {
        playUntil(nowMs + 20);
      }
      scheduler.updateWorkerListings(
          workers.values().stream().map(SimulatedWorker::listing).toList(), nowMs);
      workers.values().forEach(CrashingTaskTest.this::report);
      JobProgress progress = scheduler.takeChanges().orElseThrow().progress().get(0);
      JobProgress stored = JobCodec.decodeProgress(JobCodec.encode(progress));
      scheduler = newScheduler(TERM + 1);
      scheduler.restore(job, Optional.of(stored), nowMs, nowMs);
      playUntil(nowMs + 60_000);
      assertThat(startsByTask.get("deadly.0.0.0")).isEqualTo(2);
      assertThat(scheduler.status("deadly")).contains(JobStatus.FAILED);
    }
  }

  @Nested
  class ATaskOnWorkersThatEndForOtherReasons {

    /**
     * Guards against giving up a task that its workers had listed as running before they crashed.
     */
    @Test
    void shouldNotBeGivenUpAfterTwoCrashes() {
      accept("innocent", 1);
      for (int i = 0; i < 2; i++) {
        playUntil(nowMs + 400);
        workers.get(workerOf("innocent.0.0.0")).crash(nowMs);
      }
      playUntil(nowMs + 5_000);
      assertThat(scheduler.status("innocent")).contains(JobStatus.COMPLETED);
      assertThat(startsByTask.get("innocent.0.0.0")).isEqualTo(3);
    }
  }

  @Nested
  class ALongRunningTaskWhoseWorkersCrashWhenItStarts {

    /** Guards against a long-running job that is shown as failed though no run of it has failed. */
    @Test
    void shouldBeStartedAgainAfterEachCrash() {
      runMs = 600_000;
      crashing.add("lasting.0.0.0");
      StepSpec step = StepSpec.ofLongRunningTasks(1, new Resources(500, 1_000, 0), "", 0, 0);
      scheduler.accept(TestJobs.job("lasting", nowMs, step), nowMs);
      playUntil(nowMs + 20_000);
      assertThat(scheduler.status("lasting")).contains(JobStatus.RUNNING);
      assertThat(crashes).isGreaterThan(4);
      crashing.clear();
      playUntil(nowMs + MAX_STANDING_MS);
      assertThat(workerOf("lasting.0.0.0")).isNotEmpty();
    }
  }

  @Nested
  class ATaskOnWorkersThatAreCutOff {

    /** Guards against giving up a job none of whose runs has failed and whose workers all go on. */
    @Test
    void shouldNotBeGivenUpWhenConnectionsAreRefused() {
      runMs = 30_000;
      accept("innocent", 4);
      for (int i = 0; i < 6; i++) {
        playUntil(nowMs + 700);
        assertThat(scheduler.status("innocent")).as("cut %d", i).contains(JobStatus.RUNNING);
        String worker = workerOf("innocent.0.0." + i % 4);
        unreachable.put(worker, ReportFailure.CONNECTION_REFUSED);
        playUntil(nowMs + CUT_MS);
        unreachable.remove(worker);
      }
      playUntil(nowMs + 2 * runMs);
      assertThat(scheduler.status("innocent")).contains(JobStatus.COMPLETED);
    }
  }

  @Nested
  class ManyTasksOfWorkersThatCrashTogether {

    /**
     * Guards against suspects that wait for each other: each isolated start takes a worker for a
     * while, and after a crash of all workers there are far more suspects than workers.
     */
    @Test
    void shouldAllStartAgainWithinTheBound() {
      for (int i = 0; i < 8; i++) {
        accept("job" + i, 8);
      }
      playUntil(nowMs + 100);
      assertThat(startsByTask).hasSize(64);
      workers.values().forEach(worker -> worker.crash(nowMs));
      playUntil(nowMs + MAX_STANDING_MS);
      assertThat(startsByTask.values()).allMatch(starts -> starts >= 2);
      playUntil(nowMs + 2 * RUN_MS);
      for (int i = 0; i < 8; i++) {
        assertThat(scheduler.status("job" + i)).contains(JobStatus.COMPLETED);
      }
    }
  }

  @Nested
  class APoolWithFreeCapacityAndManySuspects {

    private static final long TASK_CPU_MILLIS = 400;

    /** Time from the acceptance or the loss of each task that is not running. */
    private final Map<String, Long> waitsSinceMs = new HashMap<>();

    private void acceptSmall(String id, int tasks) {
      scheduler.accept(TestJobs.job(id, nowMs, TestJobs.step(tasks, TASK_CPU_MILLIS)), nowMs);
      for (int i = 0; i < tasks; i++) {
        waitsSinceMs.put(id + ".0.0." + i, nowMs);
      }
    }

    private void crash(SimulatedWorker worker) {
      worker.runningTasks().forEach(task -> waitsSinceMs.put(task, nowMs));
      worker.crash(nowMs);
    }

    private long longestWaitMs() {
      workers.values().forEach(worker -> waitsSinceMs.keySet().removeAll(worker.runningTasks()));
      waitsSinceMs
          .keySet()
          .removeIf(task -> scheduler.status(task.split("\\.", 2)[0]).orElseThrow().isFinal());
      return waitsSinceMs.values().stream().mapToLong(since -> nowMs - since).max().orElse(0);
    }

    /** Guards against isolated runs on all workers that are left after crashes of the others. */
    @Test
    void shouldLeaveAWorkerForOtherTasks() {
      for (int i = 0; i < 8; i++) {
        acceptSmall("job" + i, 8);
      }
      playUntil(nowMs + 100);
      List.of("w3", "w4", "w5", "w6", "w7")
          .forEach(worker -> unreachable.put(worker, ReportFailure.NO_ANSWER));
      playUntil(nowMs + 100);
      List.of("w0", "w1", "w2").forEach(id -> crash(workers.get(id)));
      playUntil(nowMs + 100);
      acceptSmall("new", 1);
      playUntil(nowMs + 40);
      assertThat(startsByTask).containsKey("new.0.0.0");
    }

    /** Guards against suspects that newer suspects keep waiting, by their isolated runs. */
    @ParameterizedTest
    @ValueSource(longs = {2, 3, 4, 11})
    void shouldStartEachTaskWithinTheBound(long seed) {
      UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
      long longestMs = 0;
      for (int i = 0; i < 2_000; i++) {
        if (i % 2 == 0) {
          acceptSmall("job" + i, 4);
        }
        if (random.nextInt(20) == 0) {
          List<SimulatedWorker> all = List.copyOf(workers.values());
          crash(all.get(random.nextInt(all.size())));
        }
        playUntil(nowMs + 20);
        longestMs = Math.max(longestMs, longestWaitMs());
      }
      assertThat(longestMs).as("seed %d", seed).isLessThan(MAX_STANDING_MS);
    }
  }

  @Nested
  class TasksThatCrashWorkersAmongManySuspects {

    /** Guards against giving up tasks that were started beside one that crashes its workers. */
    @Test
    void shouldNotTakeOtherJobsDownWithThem() {
      crashing.addAll(Set.of("job1.0.0.2", "job4.0.0.0", "job6.0.0.7"));
      for (int i = 0; i < 8; i++) {
        accept("job" + i, 8);
      }
      playUntil(nowMs + 100);
      workers.values().forEach(worker -> worker.crash(nowMs));
      playUntil(nowMs + 60_000);
      for (int i = 0; i < 8; i++) {
        boolean isCrashing = i == 1 || i == 4 || i == 6;
        assertThat(scheduler.status("job" + i))
            .contains(isCrashing ? JobStatus.FAILED : JobStatus.COMPLETED);
      }
      assertThat(crashes).isLessThanOrEqualTo(3 * 3);
    }
  }

  @Nested
  class ATaskThatTheNextProcessRuns {

    /**
     * Guards against blaming a task for a crash before its start. The worker had started again when
     * it received the order, and the registry shows that only later.
     */
    @Test
    void shouldNotCountAsCrashed() {
      workers.values().forEach(worker -> worker.crash(nowMs - 10));
      accept("innocent", 2);
      scheduler.onOwnershipProven(nowMs);
      scheduler.decide(nowMs, nowMs).orders().forEach(CrashingTaskTest.this::execute);
      playUntil(nowMs + 100);
      assertThat(workers.values()).anyMatch(worker -> !worker.runningTasks().isEmpty());
      scheduler.cancel("innocent");
      assertThat(scheduler.takeChanges().orElseThrow().progress().get(0).crashedTasks()).isEmpty();
    }
  }

  @Nested
  class AWorkerWhoseCapacityShrinks {

    /** Guards against starting more on a worker than it has room for since it shrank. */
    @Test
    void shouldGetNoTaskThatNoLongerFits() {
      List<WorkerListing> shrunk =
          workers.values().stream()
              .map(SimulatedWorker::listing)
              .map(
                  listing ->
                      new WorkerListing(
                          listing.id(),
                          listing.service(),
                          listing.address(),
                          listing.dataCentre(),
                          new Resources(2_500, listing.capacity().memoryMb(), 0),
                          listing.labels(),
                          false,
                          0,
                          listing.startedEpochMs()))
              .toList();
      accept("before", 4 * WORKERS);
      playUntil(nowMs + 100);
      scheduler.updateWorkerListings(shrunk, nowMs);
      accept("after", 4 * WORKERS);
      scheduler.onOwnershipProven(nowMs);
      assertThat(scheduler.decide(nowMs, nowMs).orders()).isEmpty();
    }
  }

  @Nested
  class AWorkerWhoseProcessHasEnded {

    private Order.Start startUnlisted() {
      accept("job", 1);
      scheduler.onOwnershipProven(nowMs);
      Order.Start start = (Order.Start) scheduler.decide(nowMs, nowMs).orders().get(0);
      execute(start);
      return start;
    }

    private void expireLeases() {
      nowMs += 10_000;
      scheduler.onOwnershipProven(nowMs);
      scheduler.decide(nowMs, nowMs);
    }

    private Optional<JobProgress> progressAfterLossOf(String workerId, ReportFailure failure) {
      scheduler.takeChanges();
      scheduler.onReportMissed(workerId, failure, nowMs, nowMs);
      expireLeases();
      return scheduler.takeChanges().map(changes -> changes.progress().get(0));
    }

    @Test
    void shouldCountAsCrashedIfAnotherProcessAnswersUntilItsLeasesHaveExpired() {
      Order.Start start = startUnlisted();
      Optional<JobProgress> progress =
          progressAfterLossOf(start.workerId(), ReportFailure.OTHER_PROCESS);
      assertThat(progress.orElseThrow().crashedTasks())
          .containsExactly(new JobProgress.CrashedTask(0, 0, 0, 1, true));
    }

    private Optional<JobProgress> progressAfterAbsencesFromTheInstances(int absences) {
      Order.Start start = startUnlisted();
      scheduler.onReportMissed(start.workerId(), ReportFailure.NO_ANSWER, nowMs, nowMs);
      for (int i = 0; i < absences; i++) {
        scheduler.onInstancesListed(Set.of(), nowMs);
      }
      return progressAfterLossOf(start.workerId(), ReportFailure.NO_ANSWER);
    }

    @Test
    void shouldCountAsCrashedIfTwoListsOfInstancesDoNotNameIt() {
      assertThat(progressAfterAbsencesFromTheInstances(2).orElseThrow().crashedTasks())
          .containsExactly(new JobProgress.CrashedTask(0, 0, 0, 1, true));
    }

    /** Guards against a running worker that is missing from one list, whose pages may overlap. */
    @Test
    void shouldNotCountAsCrashedIfOneListOfInstancesDoesNotNameIt() {
      assertThat(progressAfterAbsencesFromTheInstances(1)).isEmpty();
    }

    /**
     * Guards against an owner on a small instance that spends its link and processor on long lists
     * while workers are cut off.
     */
    @Test
    void shouldBeLookedUpOnlySeldomWhileItCannotBeReached() {
      Order.Start start = startUnlisted();
      int lists = 0;
      for (long endMs = nowMs + CUT_MS; nowMs < endMs; nowMs += 500) {
        scheduler.onReportMissed(start.workerId(), ReportFailure.CONNECTION_REFUSED, nowMs, nowMs);
        if (scheduler.needsInstanceList(nowMs)) {
          lists++;
          scheduler.onInstancesListed(workers.keySet(), nowMs);
        }
      }
      assertThat(lists).isBetween(1, 3);
      scheduler.onReportMissed(start.workerId(), ReportFailure.NO_ANSWER, nowMs, nowMs);
      nowMs += 10_000;
      assertThat(scheduler.needsInstanceList(nowMs)).isFalse();
    }

    /** Guards against counting a planned shutdown as a crash. */
    @Test
    void shouldNotCountAsCrashedIfItHadAnnouncedItsShutdown() {
      Order.Start start = startUnlisted();
      WorkerListing listing = workers.get(start.workerId()).listing();
      scheduler.updateWorkerListings(
          List.of(
              new WorkerListing(
                  listing.id(),
                  listing.service(),
                  listing.address(),
                  listing.dataCentre(),
                  listing.capacity(),
                  listing.labels(),
                  true,
                  1_000,
                  listing.startedEpochMs())),
          nowMs);
      assertThat(progressAfterLossOf(start.workerId(), ReportFailure.OTHER_PROCESS)).isEmpty();
    }

    /** Guards against giving up tasks because the path to their workers is reset for a while. */
    @Test
    void shouldNotCountAsCrashedIfItReportsAgain() {
      Order.Start start = startUnlisted();
      scheduler.takeChanges();
      scheduler.onReportMissed(start.workerId(), ReportFailure.CONNECTION_REFUSED, nowMs, nowMs);
      nowMs += 500;
      report(workers.get(start.workerId()));
      scheduler.onReportMissed(start.workerId(), ReportFailure.NO_ANSWER, nowMs, nowMs);
      expireLeases();
      assertThat(scheduler.takeChanges()).isEmpty();
    }
  }
}
