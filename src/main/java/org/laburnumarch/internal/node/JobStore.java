package org.laburnumarch.internal.node;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.job.JobCodec;
import org.laburnumarch.internal.job.JobProgress;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.metrics.Meters;
import org.laburnumarch.internal.platform.PlatformFailures;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.StoreClient.KeyedValue;
import org.laburnumarch.internal.platform.StoreClient.NewestPage;
import org.laburnumarch.internal.platform.StoreClient.StoreRecord;
import org.laburnumarch.internal.platform.StoreClient.WriteOutcome;
import org.laburnumarch.internal.platform.StoreClient.WriteResult;
import org.laburnumarch.internal.platform.StoreClient.WriterPosition;
import org.laburnumarch.internal.schedule.JobChanges;
import org.laburnumarch.internal.schedule.WorkerListing;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/**
 * Writes the owner's records in one sequence, with at most one write in flight, and reads them
 * after a takeover. {@link #open} fences earlier owners: from then on the store refuses their
 * writes.
 */
final class JobStore implements AutoCloseable {

  /** Key prefix of submitted jobs. */
  private static final String JOB = "j";

  /** Key prefix of the progress of jobs. */
  private static final String PROGRESS = "p";

  /** Key of the enrolment, the list of workers to which orders may have been sent. */
  private static final String ENROLMENT = "w";

  /** Key prefix of the state of maintenance waves. */
  private static final String WAVE = "u";

  /** Key prefix of what owners have learnt. */
  private static final String STATE = "s";

  private static final long RETRY_MS = 120;

  /** Time after which a submission is refused if its job has certainly not been stored. */
  private static final long SUBMISSION_TIMEOUT_MS = 1_500;

  /** Largest number of jobs in one write. */
  private static final int MAX_JOBS_PER_WRITE = 200;

  /** Part of the largest write that new jobs may fill; the rest is for progress and the like. */
  private static final double SUBMISSIONS_FRACTION = 0.5;

  /** How far the submission of a job has come that has not been accepted. */
  enum SubmissionState {
    /** Not known to this owner. */
    NONE,
    /** In no write yet. */
    QUEUED,
    /** In a write that has not been confirmed, so that it may be stored. */
    IN_WRITE
  }

  /** The outcome of a submission. */
  enum SubmissionResult {
    STORED,
    NOT_STORED
  }

  @SuppressWarnings("ArrayRecordComponent")
  private record PendingSubmission(
      JobSpec job, byte[] encoded, long sinceMs, CompletableFuture<SubmissionResult> result) {}

  /** The records of one write. */
  private record Batch(
      List<PendingSubmission> submissions,
      Optional<JobChanges> changes,
      Optional<List<WorkerListing>> enrolment,
      List<WaveRecord> waves,
      List<OwnerState> states,
      List<String> removedJobs) {}

  /** Supplies progress to write and receives the results of writes. */
  interface Callbacks {

    /** Returns progress to write, if there is any. */
    Optional<JobChanges> takeChanges();

    /** A submission has been stored. */
    void onAccepted(JobSpec job);

    /** Progress has been stored. */
    void onStored(JobChanges changes);

    /** An enrolment has been stored. */
    void onEnrolled(List<WorkerListing> workers);

    /** The store has refused a write of this owner, because another owner has fenced it. */
    void onFenced();

    /** An unexpected error has interrupted the sequence of writes. */
    void onBroken(RuntimeException cause);
  }

  private final StoreClient store;
  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private final long term;
  private final int maxWriteBytes;
  private final Meters meters;
  private final Callbacks callbacks;
  private final Deque<PendingSubmission> pendingSubmissions = new ArrayDeque<>();
  private final Map<String, CompletableFuture<SubmissionResult>> pendingResults = new HashMap<>();
  private final List<String> removedJobs = new ArrayList<>();
  private final List<WaveRecord> waves = new ArrayList<>();
  private final Map<String, OwnerState> states = new LinkedHashMap<>();
  private Optional<List<WorkerListing>> enrolment = Optional.empty();
  private long nextSequence;
  private boolean isWriting;
  private boolean isClosed;
  private long failingSinceMs = -1;

  JobStore(
      StoreClient store,
      EventLoopThread loop,
      SuspendAwareClock clock,
      long term,
      int maxWriteBytes,
      Meters meters,
      Callbacks callbacks) {
    this.maxWriteBytes = maxWriteBytes;
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.term = term;
    this.meters = meters;
    this.callbacks = callbacks;
  }

  /**
   * The records that earlier owners have stored.
   *
   * @param states what they have learnt, as encoded records by name
   */
  record Contents(
      Map<String, JobSpec> jobs,
      Map<String, JobProgress> progress,
      List<WorkerListing> enrolled,
      List<WaveRecord> waves,
      Map<String, byte[]> states) {

    static Contents empty() {
      return new Contents(
          new HashMap<>(), new HashMap<>(), new ArrayList<>(), new ArrayList<>(), new HashMap<>());
    }
  }

  /** Fences earlier owners and reads their records. Retries until it succeeds or is closed. */
  CompletionStage<Contents> open() {
    CompletableFuture<Contents> result = new CompletableFuture<>();
    fence(result);
    return result;
  }

  private void fence(CompletableFuture<Contents> result) {
    if (isClosed) {
      return;
    }
    store
        .append(
            StoreClient.JOB_LOG,
            List.of(),
            OptionalLong.empty(),
            Optional.of(new WriterPosition(term, nextSequence)))
        .whenComplete(
            (writeResult, failure) -> {
              if (failure != null) {
                loop.schedule(RETRY_MS, () -> fence(result));
              } else if (writeResult.outcome() == WriteOutcome.FENCED) {
                callbacks.onFenced();
              } else {
                Logger.info("jobs: event=fenced term={} outcome={}", term, writeResult.outcome());
                nextSequence++;
                load(Optional.empty(), Contents.empty(), result);
              }
            });
  }

  private void load(
      Optional<String> afterKey, Contents contents, CompletableFuture<Contents> result) {
    if (isClosed) {
      return;
    }
    store
        .readNewest(StoreClient.JOB_LOG, afterKey)
        .whenComplete(
            (page, failure) -> {
              if (failure != null) {
                loop.schedule(RETRY_MS, () -> load(afterKey, contents, result));
                return;
              }
              addPage(page, contents);
              if (page.continueAfter().isPresent()) {
                load(page.continueAfter(), contents, result);
              } else {
                result.complete(contents);
              }
            });
  }

  private static void addPage(NewestPage page, Contents contents) {
    for (StoreRecord stored : page.records()) {
      if (stored.value().isEmpty()) {
        continue;
      }
      try {
        byte[] value = stored.value().get();
        if (stored.key().equals(ENROLMENT)) {
          contents.enrolled().addAll(EnrolmentCodec.decode(value));
        } else if (stored.key().startsWith(WAVE)) {
          contents.waves().add(WaveRecord.decode(value));
        } else if (stored.key().startsWith(STATE)) {
          contents.states().put(stored.key().substring(STATE.length()), value);
        } else if (stored.key().startsWith(JOB)) {
          JobSpec job = JobCodec.decodeJob(value);
          contents.jobs().put(job.id(), job);
        } else if (stored.key().startsWith(PROGRESS)) {
          JobProgress progress = JobCodec.decodeProgress(value);
          contents.progress().put(progress.id(), progress);
        }
      } catch (IOException | RuntimeException e) {
        Logger.error("jobs: event=unreadable key={} cause={}", stored.key(), e.getMessage());
      }
    }
  }

  /** Returns whether a job is being stored. */
  boolean isPending(String jobId) {
    return pendingResults.containsKey(jobId);
  }

  /** Returns how far the submission of a job has come that has not been accepted. */
  SubmissionState submissionState(String jobId) {
    if (!isPending(jobId)) {
      return SubmissionState.NONE;
    }
    return pendingSubmissions.stream().anyMatch(it -> it.job().id().equals(jobId))
        ? SubmissionState.QUEUED
        : SubmissionState.IN_WRITE;
  }

  /**
   * Drops the submission of a job that is in no write yet; it counts as not stored. Has no effect
   * on any other.
   */
  void withdraw(String jobId) {
    List<PendingSubmission> withdrawn =
        pendingSubmissions.stream().filter(it -> it.job().id().equals(jobId)).toList();
    pendingSubmissions.removeAll(withdrawn);
    withdrawn.forEach(this::refuse);
  }

  /** Stores a job; a second call with the same id gets the result of the first. */
  CompletionStage<SubmissionResult> submit(JobSpec job) {
    CompletableFuture<SubmissionResult> known = pendingResults.get(job.id());
    if (known != null) {
      return known;
    }
    boolean isStoreDown =
        failingSinceMs >= 0 && clock.nowMs() - failingSinceMs > SUBMISSION_TIMEOUT_MS;
    if (isStoreDown && isWriting) {
      // A write is repeated until the store is back; without one, this submission is the trial.
      return CompletableFuture.completedStage(SubmissionResult.NOT_STORED);
    }
    CompletableFuture<SubmissionResult> result = new CompletableFuture<>();
    pendingResults.put(job.id(), result);
    pendingSubmissions.add(new PendingSubmission(job, JobCodec.encode(job), clock.nowMs(), result));
    flush();
    return result;
  }

  /** Stores the enrolment, the list of workers to which orders may be sent. */
  void enrol(List<WorkerListing> workers) {
    enrolment = Optional.of(workers);
    flush();
  }

  /** Stores the state of a wave. */
  void storeWave(WaveRecord wave) {
    waves.add(wave);
    flush();
  }

  /**
   * Stores what the owner has learnt with the next write. A record of the same name that still
   * waits is replaced, so an outage of the store does not leave a queue of outdated records.
   */
  void storeState(OwnerState state) {
    states.put(state.name(), state);
  }

  /** Deletes the progress of jobs that are not needed any more; written with the next flush. */
  void deleteProgress(List<String> jobIds) {
    removedJobs.addAll(jobIds);
  }

  /** Writes all pending records, unless a write is in flight. */
  void flush() {
    if (isWriting || isClosed || nextSequence == 0) {
      return;
    }
    Batch batch = takeBatch();
    List<KeyedValue> values = values(batch);
    if (!values.isEmpty()) {
      isWriting = true;
      write(batch, values, false);
    }
  }

  private Batch takeBatch() {
    List<PendingSubmission> submissions = new ArrayList<>();
    long remainingBytes = (long) (SUBMISSIONS_FRACTION * maxWriteBytes);
    while (!pendingSubmissions.isEmpty()
        && submissions.size() < MAX_JOBS_PER_WRITE
        && (submissions.isEmpty()
            || pendingSubmissions.peekFirst().encoded().length <= remainingBytes)) {
      PendingSubmission next = pendingSubmissions.removeFirst();
      remainingBytes -= next.encoded().length;
      submissions.add(next);
    }
    Batch batch =
        new Batch(
            submissions,
            callbacks.takeChanges(),
            enrolment,
            List.copyOf(waves),
            List.copyOf(states.values()),
            List.copyOf(removedJobs));
    enrolment = Optional.empty();
    waves.clear();
    states.clear();
    removedJobs.clear();
    return batch;
  }

  private static List<KeyedValue> values(Batch batch) {
    List<KeyedValue> values = new ArrayList<>();
    // A job may have been cancelled since its progress was given up; that record has to last.
    for (String jobId : batch.removedJobs()) {
      values.add(new KeyedValue(PROGRESS + jobId, Optional.empty()));
    }
    for (PendingSubmission submission : batch.submissions()) {
      values.add(new KeyedValue(JOB + submission.job().id(), Optional.of(submission.encoded())));
    }
    batch
        .changes()
        .ifPresent(
            changes -> {
              for (JobProgress progress : changes.progress()) {
                values.add(
                    new KeyedValue(
                        PROGRESS + progress.id(), Optional.of(JobCodec.encode(progress))));
                if (progress.status().isFinal()) {
                  values.add(new KeyedValue(JOB + progress.id(), Optional.empty()));
                }
              }
            });
    batch
        .enrolment()
        .ifPresent(
            workers ->
                values.add(new KeyedValue(ENROLMENT, Optional.of(EnrolmentCodec.encode(workers)))));
    for (WaveRecord wave : batch.waves()) {
      values.add(new KeyedValue(WAVE + wave.number(), Optional.of(wave.encode())));
    }
    for (OwnerState state : batch.states()) {
      values.add(new KeyedValue(STATE + state.name(), Optional.of(state.value())));
    }
    return values;
  }

  private void write(Batch batch, List<KeyedValue> values, boolean mayBeStored) {
    if (isClosed) {
      return;
    }
    long sentAtMs = clock.nowMs();
    store
        .append(
            StoreClient.JOB_LOG,
            values,
            OptionalLong.empty(),
            Optional.of(new WriterPosition(term, nextSequence)))
        .whenComplete(
            (result, failure) -> {
              if (isClosed) {
                return;
              }
              meters.recordDuration("store_write_seconds", clock.nowMs() - sentAtMs);
              meters.count("store_writes_total", failure == null ? "answered" : "failed");
              try {
                onWriteAnswered(batch, values, mayBeStored, result, failure);
              } catch (RuntimeException e) {
                callbacks.onBroken(e);
              }
            });
  }

  private void onWriteAnswered(
      Batch batch,
      List<KeyedValue> values,
      boolean mayBeStored,
      WriteResult result,
      Throwable failure) {
    if (failure != null) {
      boolean mayBeStoredNow = mayBeStored || PlatformFailures.mayHaveTakenEffect(failure);
      onWriteFailed(batch, values, mayBeStoredNow, failure);
    } else if (result.outcome() == WriteOutcome.STORED) {
      onWritten(batch);
    } else {
      Logger.warn(
          "jobs: event=write-refused term={} sequence={} outcome={}",
          term,
          nextSequence,
          result.outcome());
      callbacks.onFenced();
    }
  }

  private void onWriteFailed(
      Batch batch, List<KeyedValue> values, boolean mayBeStored, Throwable failure) {
    long nowMs = clock.nowMs();
    if (failingSinceMs < 0) {
      failingSinceMs = nowMs;
      Logger.warn(
          "jobs: event=write-failed mayBeStored={} cause={}",
          mayBeStored,
          PlatformFailures.unwrap(failure).getMessage());
    }
    refuseExpired(nowMs);
    if (mayBeStored) {
      retry(() -> write(batch, values, true));
      return;
    }
    // Nothing of the batch was stored, so submissions that have waited too long can be refused.
    List<PendingSubmission> remainingSubmissions = new ArrayList<>();
    for (PendingSubmission submission : batch.submissions()) {
      if (nowMs - submission.sinceMs() > SUBMISSION_TIMEOUT_MS) {
        refuse(submission);
      } else {
        remainingSubmissions.add(submission);
      }
    }
    Batch remaining =
        new Batch(
            remainingSubmissions,
            batch.changes(),
            batch.enrolment(),
            batch.waves(),
            batch.states(),
            batch.removedJobs());
    List<KeyedValue> remainingValues = values(remaining);
    if (remainingValues.isEmpty()) {
      retry(
          () -> {
            isWriting = false;
            flush();
          });
    } else {
      retry(() -> write(remaining, remainingValues, false));
    }
  }

  private void refuseExpired(long nowMs) {
    while (!pendingSubmissions.isEmpty()
        && nowMs - pendingSubmissions.peekFirst().sinceMs() > SUBMISSION_TIMEOUT_MS) {
      refuse(pendingSubmissions.removeFirst());
    }
  }

  private void refuse(PendingSubmission submission) {
    pendingResults.remove(submission.job().id());
    submission.result().complete(SubmissionResult.NOT_STORED);
  }

  private void retry(Runnable action) {
    loop.schedule(RETRY_MS, action);
  }

  private void onWritten(Batch batch) {
    isWriting = false;
    nextSequence++;
    if (failingSinceMs >= 0) {
      Logger.info("jobs: event=write-regained afterMs={}", clock.nowMs() - failingSinceMs);
      failingSinceMs = -1;
    }
    for (PendingSubmission submission : batch.submissions()) {
      callbacks.onAccepted(submission.job());
      pendingResults.remove(submission.job().id());
    }
    batch.changes().ifPresent(callbacks::onStored);
    batch.enrolment().ifPresent(callbacks::onEnrolled);
    batch
        .submissions()
        .forEach(submission -> submission.result().complete(SubmissionResult.STORED));
    flush();
  }

  /**
   * Stops writing. Submissions in a write are cancelled: whether they will be stored is unknown.
   * Those that were in no write are certainly not stored.
   */
  @Override
  public void close() {
    isClosed = true;
    List.copyOf(pendingSubmissions).forEach(this::refuse);
    List.copyOf(pendingResults.values()).forEach(result -> result.cancel(false));
    pendingResults.clear();
    pendingSubmissions.clear();
  }
}
