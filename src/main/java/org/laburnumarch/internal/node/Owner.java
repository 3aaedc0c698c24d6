package org.laburnumarch.internal.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.job.JobCodec;
import org.laburnumarch.internal.job.JobProgress;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.lead.LoadSample;
import org.laburnumarch.internal.lead.OwnerRecord;
import org.laburnumarch.internal.lead.OwnerTenure;
import org.laburnumarch.internal.link.JobReply;
import org.laburnumarch.internal.link.JobReply.Code;
import org.laburnumarch.internal.link.JobService;
import org.laburnumarch.internal.link.LinkMessage.CallKind;
import org.laburnumarch.internal.metrics.Meters;
import org.laburnumarch.internal.node.JobStore.SubmissionResult;
import org.laburnumarch.internal.node.OwnerLoad.RoundPart;
import org.laburnumarch.internal.platform.MachineClient;
import org.laburnumarch.internal.platform.NodeSettings;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.schedule.Decisions;
import org.laburnumarch.internal.schedule.JobChanges;
import org.laburnumarch.internal.schedule.RunLocations;
import org.laburnumarch.internal.schedule.Scheduler;
import org.laburnumarch.internal.schedule.SchedulerSettings;
import org.laburnumarch.internal.schedule.WorkerListing;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/**
 * Runs the fleet for the time of one ownership: schedules all jobs on the workers until the
 * ownership is lost. Used on one thread only.
 */
final class Owner implements JobService, AutoCloseable {

  /** Time between two scheduling rounds if no event causes one earlier. */
  private static final long TICK_MS = 50;

  /** Delay of a round after an event, so that events in quick succession share one round. */
  private static final long ROUND_DELAY_MS = 1;

  /** Time after which a caller should retry while jobs cannot be stored. */
  private static final long STORE_RETRY_AFTER_MS = 1_000;

  private static final long REMOVE_FINISHED_EVERY_MS = 5_000;

  /** Notifies the daemon. */
  interface Listener {

    /** An unexpected error has left this owner in a state in which it cannot go on. */
    void onBroken(RuntimeException cause);

    /**
     * The store or a worker has refused this owner, because a later owner has fenced it.
     *
     * @param where the store or the worker that refused, for the log
     */
    void onFenced(String where);
  }

  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private final OwnerTenure tenure;
  private final OperatorWatch operators;
  private final Meters meters;
  private final Listener listener;
  private final Scheduler scheduler;
  private final RunTimesKeeper runTimesKeeper;
  private final JobStore jobs;
  private final HandoverLog handoverLog;
  private final Optional<OwnerRecord> earlier;
  private final long earlierSeenAtMs;
  private final OwnerLoad load;
  private final WorkerDriver driver;
  private final AdmissionControl admission;
  private final ShareKeeper shareKeeper;
  private final WaitReporter waitReporter;
  private final Optional<MachineController> machineController;
  private final Runnable onOperatorChange = this::applyOperatorRecords;
  private final PendingReplies pendingReplies =
      new PendingReplies(JobReply.refuse(Code.UNAVAILABLE, STORE_RETRY_AFTER_MS));
  private boolean isLoaded;
  private boolean isEnrolling;
  private boolean isRoundScheduled;
  private boolean isClosed;
  private long finishedRemovedAtMs;
  private long nextTickAtMs;

  Owner(
      NodeSettings settings,
      EventLoopThread loop,
      SuspendAwareClock clock,
      StoreClient store,
      OperatorWatch operators,
      OwnerTenure tenure,
      Optional<OwnerRecord> earlier,
      long earlierSeenAtMs,
      long earlierOrdersOverAtMs,
      Meters meters,
      Listener listener) {
    this.loop = loop;
    this.clock = clock;
    this.tenure = tenure;
    this.operators = operators;
    this.meters = meters;
    this.listener = listener;
    this.earlier = earlier;
    this.earlierSeenAtMs = earlierSeenAtMs;
    this.handoverLog = new HandoverLog(store, loop, settings.maxRecordBytes());
    this.scheduler =
        new Scheduler(
            new SchedulerSettings(
                settings.maxLeaseMs(),
                settings.maxStopMs(),
                settings.gangTimeoutMs(),
                settings.statusRetentionMs(),
                settings.unavailableNoticeMs(),
                settings.remoteSlowdownFactor(),
                OwnerTenure.AUTHORITY_MS),
            tenure.term(),
            clock.nowMs(),
            earlier.isPresent());
    scheduler.onEarlierOrdersBounded(earlierOrdersOverAtMs);
    this.runTimesKeeper = new RunTimesKeeper(scheduler.runTimes(), meters);
    this.jobs =
        new JobStore(
            store,
            loop,
            clock,
            tenure.term(),
            settings.maxWriteBytes(),
            meters,
            new StoreCallbacks());
    this.admission = new AdmissionControl(scheduler, this::projectedSize, meters);
    this.shareKeeper = new ShareKeeper(scheduler.shares(), admission, jobs, meters);
    this.waitReporter = new WaitReporter(scheduler, clock.nowMs());
    this.load = new OwnerLoad(clock.nowMs());
    this.driver =
        new WorkerDriver(
            settings,
            loop,
            clock,
            store,
            tenure,
            scheduler,
            this::scheduleRound,
            listener,
            meters,
            load);
    this.machineController =
        settings
            .machineServiceAddress()
            .map(address -> createMachineController(settings, address, loop, store, earlier));
  }

  /** Returns the size that a pool has or will have soon; 0 if no instances are moved to it. */
  private OptionalInt projectedSize(String service) {
    return machineController
        .map(controller -> controller.projectedSize(service))
        .orElse(OptionalInt.of(0));
  }

  private MachineController createMachineController(
      NodeSettings settings,
      InetSocketAddress address,
      EventLoopThread eventLoop,
      StoreClient store,
      Optional<OwnerRecord> earlier) {
    return new MachineController(
        settings,
        new MachineClient(address, settings.name(), eventLoop),
        clock,
        store,
        operators,
        scheduler,
        tenure,
        jobs,
        earlier,
        meters);
  }

  /** Records that the earlier owner has certainly stopped sending orders. */
  void onEarlierOwnerStopped() {
    scheduler.onEarlierOwnerStopped(earlierSeenAtMs, clock.nowMs());
    machineController.ifPresent(MachineController::onEarlierOwnerStopped);
    scheduleRound();
  }

  /** Returns the time in milliseconds for which earlier owners may still send orders. */
  long earlierOrdersLeftMs() {
    return scheduler.earlierOrdersLeftMs(clock.nowMs());
  }

  /** Returns the measurements of the last second, once. */
  Optional<LoadSample> takeLoadSample() {
    return load.takeSample();
  }

  void start() {
    operators.onChange(onOperatorChange);
    meters.registerGauge("live_jobs", scheduler::liveJobCount);
    waitReporter.registerGauges(meters);
    meters.registerGauge("known_workers", () -> scheduler.workerIds().size());
    applyOperatorRecords();
    jobs.open()
        .thenCompose(
            contents -> readRunLocations().thenAccept(locations -> onLoaded(contents, locations)))
        .exceptionally(
            failure -> {
              listener.onBroken(new IllegalStateException("cannot load", failure));
              return null;
            });
  }

  private CompletionStage<Optional<RunLocations>> readRunLocations() {
    return earlier
        .map(record -> handoverLog.read(record.term()))
        .orElse(CompletableFuture.completedStage(Optional.empty()));
  }

  private void onLoaded(JobStore.Contents contents, Optional<RunLocations> locations) {
    if (isClosed) {
      return;
    }
    long nowMs = clock.nowMs();
    long epochMs = clock.epochMs();
    runTimesKeeper.restore(contents);
    contents.enrolled().forEach(scheduler::restoreEnrolled);
    contents.jobs().values().stream()
        .sorted(Comparator.comparingLong(JobSpec::submittedEpochMs))
        .forEach(
            job ->
                scheduler.restore(
                    job, Optional.ofNullable(contents.progress().get(job.id())), nowMs, epochMs));
    contents
        .progress()
        .forEach(
            (id, progress) -> {
              if (!contents.jobs().containsKey(id) && progress.status().isFinal()) {
                scheduler.restoreFinal(progress, nowMs);
              }
            });
    locations.ifPresent(left -> scheduler.restoreRunLocations(left, nowMs));
    machineController.ifPresent(controller -> controller.restore(contents));
    shareKeeper.restore(contents.states(), nowMs, epochMs);
    isLoaded = true;
    Logger.info(
        "owner: event=loaded term={} jobs={} progress={} workers={} locations={}",
        tenure.term(),
        contents.jobs().size(),
        contents.progress().size(),
        contents.enrolled().size(),
        locations.map(left -> left.workersByTask().size()).orElse(-1));
    driver.start();
    nextTickAtMs = nowMs;
    tick();
  }

  private void applyOperatorRecords() {
    if (isClosed) {
      return;
    }
    scheduler.configure(operators.config());
    scheduler.setOutOfServiceDataCentres(operators.outOfServiceDataCentres());
    scheduleRound();
  }

  private void tick() {
    if (isClosed) {
      return;
    }
    try {
      long nowMs = clock.nowMs();
      load.onTimer(nowMs - nextTickAtMs);
      load.report(nowMs, scheduler.liveJobCount())
          .ifPresent(line -> Logger.info("owner: event=load {} {}", line, driver.pacingSummary()));
      runRound();
    } finally {
      nextTickAtMs = clock.nowMs() + TICK_MS;
      loop.schedule(TICK_MS, this::tick);
    }
  }

  /** Schedules a round shortly, unless one is scheduled already. */
  private void scheduleRound() {
    if (isLoaded && !isRoundScheduled && !isClosed) {
      isRoundScheduled = true;
      loop.schedule(
          ROUND_DELAY_MS,
          () -> {
            isRoundScheduled = false;
            runRound();
          });
    }
  }

  private void runRound() {
    long nowMs = clock.nowMs();
    if (isClosed || !tenure.hasAuthority(nowMs)) {
      return;
    }
    pendingReplies.onRenewed(tenure::isRenewedSince);
    if (tenure.mayHaveSuccessor(nowMs)) {
      pendingReplies.refuseUnproved();
    }
    load.onRound();
    if (scheduler.needsEnrolment() && driver.isRegistryRead()) {
      enrol();
    }
    scheduler.onOwnershipProven(nowMs - tenure.renewalAgeMs(nowMs));
    if (operators.config().isPresent()) {
      machineController.ifPresent(
          controller -> measure(RoundPart.INSTANCES, () -> controller.runRound(nowMs)));
      Decisions decisions =
          measure(RoundPart.DECISIONS, () -> scheduler.decide(nowMs, clock.epochMs()));
      measure(RoundPart.ORDERS, () -> driver.carryOut(decisions));
      meters.recordDuration("decision_seconds", clock.nowMs() - nowMs);
    }
    waitReporter.runRound(nowMs, clock.epochMs());
    measure(RoundPart.RENEWALS, driver::renewLeases);
    measure(RoundPart.STORE, () -> store(nowMs));
  }

  private void store(long nowMs) {
    shareKeeper.runRound(nowMs, clock.epochMs());
    if (nowMs - finishedRemovedAtMs > REMOVE_FINISHED_EVERY_MS) {
      finishedRemovedAtMs = nowMs;
      jobs.deleteProgress(scheduler.removeFinishedJobs(nowMs));
    }
    runTimesKeeper.stateToStore(nowMs).ifPresent(jobs::storeState);
    jobs.flush();
  }

  private void measure(RoundPart part, Runnable action) {
    measure(
        part,
        () -> {
          action.run();
          return null;
        });
  }

  private <T> T measure(RoundPart part, Supplier<T> action) {
    long startedAtMs = clock.nowMs();
    T result = action.get();
    load.onPart(part, clock.nowMs() - startedAtMs);
    return result;
  }

  private void enrol() {
    if (!isEnrolling) {
      isEnrolling = true;
      jobs.enrol(scheduler.workersToEnrol());
    }
  }

  @Override
  public CompletionStage<JobReply> call(
      CallKind kind, String queue, String jobId, byte[] payload, long timeoutMs) {
    if (!isLoaded || isClosed || !tenure.hasAuthority(clock.nowMs())) {
      return CompletableFuture.completedStage(
          JobReply.refuse(Code.UNAVAILABLE, STORE_RETRY_AFTER_MS));
    }
    return switch (kind) {
      case SUBMIT -> submit(payload);
      case STATUS -> status(jobId);
      case CANCEL -> cancel(jobId);
      case WAITING ->
          CompletableFuture.completedStage(
              new JobReply(Code.OK, "", scheduler.waitingJobs(queue), 0));
    };
  }

  private CompletionStage<JobReply> submit(byte[] payload) {
    JobSpec job;
    try {
      job = JobCodec.decodeJob(payload);
    } catch (IOException e) {
      Logger.error("jobs: event=undecodable cause={}", e.getMessage());
      return CompletableFuture.completedStage(JobReply.refuse(Code.UNAVAILABLE, 0));
    }
    Optional<Long> knownInBatch = scheduler.submitKnown(job.id());
    if (knownInBatch.isPresent()) {
      return replyWhenStored(knownInBatch.get(), () -> JobReply.of(Code.OK));
    }
    Optional<JobReply> refusal =
        jobs.isPending(job.id())
            ? Optional.empty()
            : admission.refusal(job, clock.nowMs(), clock.epochMs());
    if (refusal.isPresent()) {
      return CompletableFuture.completedStage(refusal.get());
    }
    return jobs.submit(scheduler.withService(job))
        .handle(
            (submissionResult, failure) -> {
              if (failure != null) {
                return JobReply.of(Code.UNDECIDED);
              }
              return submissionResult == SubmissionResult.STORED
                  ? JobReply.of(Code.OK)
                  : JobReply.refuse(Code.UNAVAILABLE, STORE_RETRY_AFTER_MS);
            });
  }

  /**
   * Returns a job's status. That a job does not exist is replied only if its record is in no write,
   * and with the proof that no later owner had accepted it when the request arrived.
   */
  private CompletionStage<JobReply> status(String jobId) {
    JobReply reply = currentStatus(jobId);
    return reply.code() == Code.UNKNOWN_JOB
        ? pendingReplies.afterRenewal(clock.nowMs(), () -> currentStatus(jobId))
        : CompletableFuture.completedStage(reply);
  }

  private JobReply currentStatus(String jobId) {
    boolean isDecided = !jobs.isPending(jobId) && !tenure.mayHaveSuccessor(clock.nowMs());
    return statusOrUnknown(
        jobId,
        isDecided
            ? JobReply.of(Code.UNKNOWN_JOB)
            : JobReply.refuse(Code.UNAVAILABLE, STORE_RETRY_AFTER_MS));
  }

  private JobReply statusOrUnknown(String jobId, JobReply unknown) {
    return scheduler
        .status(jobId)
        .map(status -> new JobReply(Code.OK, status.label(), 0, 0))
        .orElse(unknown);
  }

  private CompletionStage<JobReply> cancel(String jobId) {
    if (scheduler.status(jobId).isEmpty()) {
      Logger.info(
          "jobs: event=cancel-unknown job={} submission={} renewalAgeMs={}",
          jobId,
          jobs.submissionState(jobId),
          tenure.renewalAgeMs(clock.nowMs()));
      jobs.withdraw(jobId);
    } else {
      Logger.info("jobs: event=cancel job={}", jobId);
    }
    Optional<Long> batchNumber = scheduler.cancel(jobId);
    if (batchNumber.isEmpty()) {
      Logger.warn("jobs: event=cancel-refused job={} cause=\"too many unknown jobs\"", jobId);
      return CompletableFuture.completedStage(
          JobReply.refuse(Code.UNAVAILABLE, STORE_RETRY_AFTER_MS));
    }
    return replyWhenStored(
        batchNumber.get(), () -> statusOrUnknown(jobId, JobReply.of(Code.UNKNOWN_JOB)));
  }

  /** Replies when a batch of progress has been stored, or at once if its number is 0. */
  private CompletionStage<JobReply> replyWhenStored(long batchNumber, Supplier<JobReply> reply) {
    CompletionStage<JobReply> result = pendingReplies.afterBatch(batchNumber, reply);
    if (batchNumber > 0) {
      scheduleRound();
      jobs.flush();
    }
    return result;
  }

  private void fenced(String where) {
    if (!isClosed) {
      listener.onFenced(where);
    }
  }

  /**
   * Stops scheduling and leaves to the next owner what it would otherwise have to wait for.
   *
   * @return completes when the ownership can be released
   */
  CompletionStage<Void> handOver() {
    close();
    if (isLoaded) {
      return handoverLog.write(scheduler.runLocations());
    }
    return earlier
        .map(record -> handoverLog.passOn(record.term(), tenure.term()))
        .orElse(CompletableFuture.completedStage(null));
  }

  /** Stops scheduling. Orders in flight are not repeated. */
  @Override
  public void close() {
    isClosed = true;
    operators.removeListener(onOperatorChange);
    jobs.close();
    driver.close();
    machineController.ifPresent(MachineController::close);
    pendingReplies.close();
  }

  private final class StoreCallbacks implements JobStore.Callbacks {
    @Override
    public Optional<JobChanges> takeChanges() {
      return scheduler.takeChanges();
    }

    @Override
    public void onAccepted(JobSpec job) {
      Logger.info(
          "jobs: event=accepted job={} queue={} team={} steps={}",
          job.id(),
          job.queue(),
          job.team(),
          job.steps().size());
      scheduler.accept(job, clock.nowMs());
      scheduleRound();
    }

    @Override
    public void onStored(JobChanges changes) {
      scheduler.confirmStored(changes, clock.nowMs());
      changes.progress().stream()
          .filter(progress -> progress.status().isFinal())
          .forEach(progress -> onFinalStored(progress));
      pendingReplies.onBatchStored(changes.number());
      scheduleRound();
    }

    private void onFinalStored(JobProgress progress) {
      meters.count("finished_jobs_total", progress.status().label());
      Logger.info("jobs: event=final job={} status={}", progress.id(), progress.status().label());
      if (!progress.crashedTasks().isEmpty()) {
        Logger.warn(
            "jobs: event=workers-crashed job={} tasks={}", progress.id(), progress.crashedTasks());
      }
    }

    @Override
    public void onEnrolled(List<WorkerListing> workers) {
      isEnrolling = false;
      scheduler.confirmEnrolment(workers);
      scheduleRound();
    }

    @Override
    public void onFenced() {
      fenced("store");
    }

    @Override
    public void onBroken(RuntimeException cause) {
      if (!isClosed) {
        listener.onBroken(cause);
      }
    }
  }
}
