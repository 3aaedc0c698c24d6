package org.laburnumarch.internal.node;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.http.HttpLoop;
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
import org.laburnumarch.internal.platform.StoreClient.WriterPosition;
import org.laburnumarch.internal.schedule.JobChanges;
import org.laburnumarch.internal.schedule.WorkerListing;
import org.laburnumarch.internal.time.LocalClock;
import org.tinylog.Logger;

/**
 * Writes the owner's records in one sequence, with at most one write under way, and reads them at a
 * take-over. The store refuses the writes of every earlier owner from the moment of {@link #open}.
 */
final class JobStore implements AutoCloseable {

  /** Key prefix of jobs as they were submitted. */
  private static final String JOB = "j";

  /** Key prefix of the progress of jobs. */
  private static final String PROGRESS = "p";

  /** Key of the workers that may have been given orders. */
  private static final String ENROLMENT = "w";

  /** Key prefix of the state of maintenance waves. */
  private static final String WAVE = "u";

  private static final long RETRY_MS = 120;

  /** Time after which a job that surely was not stored is refused. */
  private static final long SUBMISSION_LIMIT_MS = 1_500;

  /** Most jobs in one write; the store takes 2 MB in a call. */
  private static final int MAX_JOBS_PER_WRITE = 200;

  /** What became of a submission. */
  enum Submission {
    STORED,
    NOT_STORED
  }

  private record Waiting(JobSpec job, long sinceMs, CompletableFuture<Submission> result) {}

  /** What has been written or is about to be, as one write. */
  private record Batch(
      List<Waiting> submissions,
      Optional<JobChanges> changes,
      Optional<List<WorkerListing>> enrolment,
      List<WaveRecord> waves,
      List<String> forgotten) {}

  /** What the owner does around writes. */
  interface Callbacks {

    /** Returns progress to write, if there is any. */
    Optional<JobChanges> takeChanges();

    /** A submission has been stored. */
    void onAccepted(JobSpec job);

    /** Progress has been stored. */
    void onStored(JobChanges changes);

    /** An enrolment has been stored. */
    void onEnrolled(List<WorkerListing> workers);

    /** Another owner writes now. */
    void onFenced();
  }

  private final StoreClient store;
  private final HttpLoop loop;
  private final LocalClock clock;
  private final long term;
  private final Meters meters;
  private final Callbacks callbacks;
  private final Deque<Waiting> queue = new ArrayDeque<>();
  private final Map<String, CompletableFuture<Submission>> pending = new HashMap<>();
  private final List<String> forgotten = new ArrayList<>();
  private final List<WaveRecord> waves = new ArrayList<>();
  private Optional<List<WorkerListing>> enrolment = Optional.empty();
  private long nextSequence;
  private boolean isWriting;
  private boolean isClosed;
  private long failingSinceMs = -1;

  JobStore(
      StoreClient store,
      HttpLoop loop,
      LocalClock clock,
      long term,
      Meters meters,
      Callbacks callbacks) {
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.term = term;
    this.meters = meters;
    this.callbacks = callbacks;
  }

  /** What an earlier owner left. */
  record Contents(
      Map<String, JobSpec> jobs,
      Map<String, JobProgress> progress,
      List<WorkerListing> enrolled,
      List<WaveRecord> waves) {

    static Contents empty() {
      return new Contents(new HashMap<>(), new HashMap<>(), new ArrayList<>(), new ArrayList<>());
    }
  }

  /** Fences earlier owners and reads what they left. Retries until it succeeds or is closed. */
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
            StoreClient.JOBS,
            List.of(),
            OptionalLong.empty(),
            Optional.of(new WriterPosition(term, nextSequence)))
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                loop.after(RETRY_MS, () -> fence(result));
              } else if (answer.outcome() == WriteOutcome.FENCED) {
                callbacks.onFenced();
              } else {
                Logger.info("jobs: event=fenced term={} outcome={}", term, answer.outcome());
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
        .newest(StoreClient.JOBS, afterKey)
        .whenComplete(
            (page, failure) -> {
              if (failure != null) {
                loop.after(RETRY_MS, () -> load(afterKey, contents, result));
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

  /** Stores a job; a second call with the same id gets the result of the first. */
  CompletionStage<Submission> submit(JobSpec job) {
    CompletableFuture<Submission> known = pending.get(job.id());
    if (known != null) {
      return known;
    }
    CompletableFuture<Submission> result = new CompletableFuture<>();
    pending.put(job.id(), result);
    queue.add(new Waiting(job, clock.nowMs(), result));
    flush();
    return result;
  }

  /** Stores which workers may be given orders. */
  void enrol(List<WorkerListing> workers) {
    enrolment = Optional.of(workers);
    flush();
  }

  /** Stores the state of a wave. */
  void keepWave(WaveRecord wave) {
    waves.add(wave);
    flush();
  }

  /** Deletes what is left of jobs that need not be known any more. */
  void forget(List<String> jobIds) {
    forgotten.addAll(jobIds);
  }

  /** Writes what waits, unless a write is under way. */
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
    List<Waiting> submissions = new ArrayList<>();
    while (!queue.isEmpty() && submissions.size() < MAX_JOBS_PER_WRITE) {
      submissions.add(queue.removeFirst());
    }
    Batch batch =
        new Batch(
            submissions,
            callbacks.takeChanges(),
            enrolment,
            List.copyOf(waves),
            List.copyOf(forgotten));
    enrolment = Optional.empty();
    waves.clear();
    forgotten.clear();
    return batch;
  }

  private static List<KeyedValue> values(Batch batch) {
    List<KeyedValue> values = new ArrayList<>();
    for (Waiting waiting : batch.submissions()) {
      values.add(
          new KeyedValue(JOB + waiting.job().id(), Optional.of(JobCodec.encode(waiting.job()))));
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
    for (String jobId : batch.forgotten()) {
      values.add(new KeyedValue(PROGRESS + jobId, Optional.empty()));
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
            StoreClient.JOBS,
            values,
            OptionalLong.empty(),
            Optional.of(new WriterPosition(term, nextSequence)))
        .whenComplete(
            (result, failure) -> {
              if (isClosed) {
                return;
              }
              meters.time("store_write_seconds", clock.nowMs() - sentAtMs);
              meters.count("store_writes_total", failure == null ? "answered" : "failed");
              if (failure != null) {
                boolean maybe = mayBeStored || PlatformFailures.mayHaveTakenEffect(failure);
                onWriteFailed(batch, values, maybe, failure);
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
            });
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
    // Nothing of it was stored, so jobs that have waited too long can be left out.
    List<Waiting> kept = new ArrayList<>();
    for (Waiting waiting : batch.submissions()) {
      if (nowMs - waiting.sinceMs() > SUBMISSION_LIMIT_MS) {
        refuse(waiting);
      } else {
        kept.add(waiting);
      }
    }
    Batch rest =
        new Batch(kept, batch.changes(), batch.enrolment(), batch.waves(), batch.forgotten());
    List<KeyedValue> restValues = values(rest);
    if (restValues.isEmpty()) {
      retry(
          () -> {
            isWriting = false;
            flush();
          });
    } else {
      retry(() -> write(rest, restValues, false));
    }
  }

  private void refuseExpired(long nowMs) {
    while (!queue.isEmpty() && nowMs - queue.peekFirst().sinceMs() > SUBMISSION_LIMIT_MS) {
      refuse(queue.removeFirst());
    }
  }

  private void refuse(Waiting waiting) {
    pending.remove(waiting.job().id());
    waiting.result().complete(Submission.NOT_STORED);
  }

  private void retry(Runnable again) {
    loop.after(RETRY_MS, again);
  }

  private void onWritten(Batch batch) {
    isWriting = false;
    nextSequence++;
    if (failingSinceMs >= 0) {
      Logger.info("jobs: event=write-regained afterMs={}", clock.nowMs() - failingSinceMs);
      failingSinceMs = -1;
    }
    for (Waiting waiting : batch.submissions()) {
      callbacks.onAccepted(waiting.job());
      pending.remove(waiting.job().id());
    }
    batch.changes().ifPresent(callbacks::onStored);
    batch.enrolment().ifPresent(callbacks::onEnrolled);
    batch.submissions().forEach(waiting -> waiting.result().complete(Submission.STORED));
    flush();
  }

  /** Stops writing; submissions that wait stay undecided. */
  @Override
  public void close() {
    isClosed = true;
    List.copyOf(pending.values()).forEach(waiting -> waiting.cancel(false));
    pending.clear();
    queue.clear();
  }
}
