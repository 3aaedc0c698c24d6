package org.laburnumarch.internal.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import org.laburnumarch.internal.http.HttpLoop;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.CallerClient;
import org.laburnumarch.internal.platform.CallerClient.Reply;
import org.laburnumarch.internal.platform.standin.FleetStandIn;
import org.laburnumarch.internal.platform.standin.PromiseJudge;
import org.laburnumarch.internal.time.LocalClock;

/**
 * Submits jobs, asks for them and cancels some, over connections that stay open until the daemon
 * closes them. All calls on the loop's thread.
 */
final class SoakCallers implements AutoCloseable {

  private static final long SUBMIT_EVERY_MS = 60;
  private static final long ASK_EVERY_MS = 400;

  /** Statuses asked for at a time. */
  private static final int ASK_BATCH = 12;

  private static final long PATIENCE_MS = 3_000;
  private static final long RETRY_MS = 250;

  /** Attempts to submit one job before its caller gives up. */
  private static final int MAX_ATTEMPTS = 12;

  /** One of this many jobs is cancelled. */
  private static final int CANCEL_ONE_IN = 12;

  private static final int LASTING_JOBS = 4;

  /** Memory of every task. */
  private static final long MEMORY_MB = 1_000;

  // What daemons answer.
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;

  private final HttpLoop loop;
  private final LocalClock clock;
  private final PromiseJudge judge;
  private final Random random;
  private final List<CallerClient> clients = new ArrayList<>();
  private final Map<String, String> teamsByJob = new LinkedHashMap<>();
  private long answers;
  private long failures;
  private long slowestAnswerMs;
  private int lastingSubmitted;
  private int nextJob;
  private boolean isSubmitting = true;
  private boolean isClosed;

  SoakCallers(
      List<DaemonProcess> daemons, HttpLoop loop, LocalClock clock, PromiseJudge judge, long seed) {
    this.loop = loop;
    this.clock = clock;
    this.judge = judge;
    this.random = new Random(seed);
    for (DaemonProcess daemon : daemons) {
      clients.add(new CallerClient(daemon.callers(), FleetStandIn.HOST, PATIENCE_MS, loop));
    }
  }

  void start() {
    submitNext();
    askSome();
  }

  /** Submits nothing more; asks on. */
  void stopSubmitting() {
    isSubmitting = false;
  }

  /** Returns how many calls were answered. */
  long answers() {
    return answers;
  }

  /** Returns how many calls got no answer. */
  long failures() {
    return failures;
  }

  /** Returns the longest time that an answer took, in milliseconds. */
  long slowestAnswerMs() {
    return slowestAnswerMs;
  }

  private CallerClient anyClient() {
    return clients.get(random.nextInt(clients.size()));
  }

  private void submitNext() {
    if (isClosed || !isSubmitting) {
      return;
    }
    JobSpec job = newJob();
    String service =
        job.queue().equals(FleetStandIn.SHORT_QUEUE) ? FleetStandIn.DESK : FleetStandIn.YARD;
    teamsByJob.put(job.id(), job.team());
    judge.onSubmit(job, service);
    submit(job, 1, true);
    loop.after(SUBMIT_EVERY_MS, this::submitNext);
  }

  private JobSpec newJob() {
    String id = String.format(Locale.ROOT, "%08x%08x", random.nextInt(), nextJob++);
    String team = FleetStandIn.TEAMS.get(random.nextInt(FleetStandIn.TEAMS.size()));
    boolean isLasting = lastingSubmitted < LASTING_JOBS && nextJob > 5;
    List<StepSpec> steps = new ArrayList<>();
    if (isLasting) {
      lastingSubmitted++;
      steps.add(StepSpec.ofLastingTasks(4, new Resources(500, MEMORY_MB, 0), "", 0, 1));
    } else {
      steps.add(shortStep(1 + random.nextInt(6), 500, 100 + random.nextInt(600)));
      if (random.nextInt(3) == 0) {
        steps.add(shortStep(1 + random.nextInt(3), 1_000, 100 + random.nextInt(300), 0));
      }
    }
    String queue = isLasting ? FleetStandIn.LASTING_QUEUE : FleetStandIn.SHORT_QUEUE;
    return new JobSpec(id, queue, team, "soak", steps, 0, 0, 0, clock.epochMs());
  }

  private static StepSpec shortStep(int count, long cpuMillis, long runMs, Integer... after) {
    return StepSpec.ofTasks(count, new Resources(cpuMillis, MEMORY_MB, 0), runMs, List.of(after));
  }

  /**
   * Submits a job until it is accepted.
   *
   * @param isRefusedSoFar whether each earlier attempt was refused by an answer
   */
  private void submit(JobSpec job, int attempt, boolean isRefusedSoFar) {
    if (isClosed) {
      return;
    }
    long sentAtMs = clock.nowMs();
    anyClient()
        .submit(job, job.team())
        .whenComplete(
            (reply, failure) -> {
              note(sentAtMs, failure);
              boolean isRefusal =
                  failure == null && (reply.code() == TOO_MANY || reply.code() == UNAVAILABLE);
              if (failure == null && reply.code() == OK) {
                onAccepted(job);
              } else if (attempt < MAX_ATTEMPTS) {
                loop.after(
                    retryMs(reply), () -> submit(job, attempt + 1, isRefusedSoFar && isRefusal));
              } else if (isRefusedSoFar && isRefusal) {
                judge.onRefused(job.id());
              }
            });
  }

  private static long retryMs(Reply reply) {
    return reply == null
        ? RETRY_MS
        : reply.retryAfterSeconds().map(seconds -> seconds * 1_000).orElse(RETRY_MS);
  }

  private void note(long sentAtMs, Throwable failure) {
    if (failure == null) {
      answers++;
      slowestAnswerMs = Math.max(slowestAnswerMs, clock.nowMs() - sentAtMs);
    } else {
      failures++;
    }
  }

  private void onAccepted(JobSpec job) {
    judge.onAccepted(job.id());
    if (random.nextInt(CANCEL_ONE_IN) == 0 && job.queue().equals(FleetStandIn.SHORT_QUEUE)) {
      loop.after(random.nextInt(1_500), () -> cancel(job));
    }
  }

  private void cancel(JobSpec job) {
    if (isClosed) {
      return;
    }
    judge.onCancelRequested(job.id());
    anyClient()
        .cancel(job.queue(), job.id(), job.team())
        .whenComplete(
            (reply, failure) -> {
              if (failure == null && (reply.code() == OK || reply.code() == GONE)) {
                judge.onCancelConfirmed(job.id());
              } else {
                loop.after(RETRY_MS, () -> cancel(job));
              }
            });
  }

  private void askSome() {
    if (isClosed) {
      return;
    }
    List<String> open = judge.openJobs();
    for (int i = 0; i < Math.min(ASK_BATCH, open.size()); i++) {
      ask(open.get(random.nextInt(open.size())));
    }
    loop.after(ASK_EVERY_MS, this::askSome);
  }

  private void ask(String jobId) {
    long askedAtMs = clock.nowMs();
    anyClient()
        .status(judge.queueOf(jobId), jobId, teamsByJob.get(jobId))
        .whenComplete(
            (reply, failure) -> {
              note(askedAtMs, failure);
              if (failure == null && reply.code() == GONE) {
                judge.onUnknown(jobId, askedAtMs);
              } else if (failure == null) {
                reply.status().ifPresent(status -> judge.onShown(jobId, status));
              }
            });
  }

  /** Sends nothing more. */
  @Override
  public void close() {
    isClosed = true;
    clients.forEach(CallerClient::close);
  }
}
