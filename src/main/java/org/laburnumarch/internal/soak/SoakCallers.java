package org.laburnumarch.internal.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.platform.CallerClient;
import org.laburnumarch.internal.platform.CallerClient.Reply;
import org.laburnumarch.internal.platform.standin.InvariantChecker;
import org.laburnumarch.internal.platform.standin.PlatformLayout;
import org.laburnumarch.internal.platform.standin.PlatformStandIn;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.laburnumarch.spi.PlatformException;

/**
 * Simulates callers that submit jobs, poll their status and cancel some of them, over persistent
 * connections. Methods must be called on the event loop's thread.
 */
final class SoakCallers implements AutoCloseable {

  private static final long POLL_INTERVAL_MS = 400;

  /** Number of status requests per interval. */
  private static final int POLLS_PER_INTERVAL = 12;

  private static final long REQUEST_TIMEOUT_MS = 3_000;

  /** Each caller keeps connections of its own to all daemons. */
  private static final int CALLERS = 3;

  /** Age from which a request is taken to have been read by its daemon. */
  private static final long READ_WITHIN_MS = 200;

  private static final long RETRY_DELAY_MS = 250;

  /** Maximum number of attempts to submit one job. */
  private static final int MAX_ATTEMPTS = 12;

  /** One in this many short jobs is cancelled while its first submission is under way. */
  private static final int ONE_EARLY_CANCELLATION_IN = 20;

  private static final int MAX_EARLY_CANCEL_DELAY_MS = 25;

  /** One in this many short jobs is given up and cancelled when a submission gets no answer. */
  private static final int ONE_GIVEN_UP_IN = 4;

  // Status codes of daemons.
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private final InvariantChecker checker;
  private final Random random;

  /** Decides on early cancellations, so that all other draws of a seed stay as they are. */
  private final Random cancellations;

  private final PlatformLayout layout;
  private final JobSource jobs;
  private boolean mustBeAnswered;
  private final LoopDelays loopDelays;
  private final List<CallerClient> clients = new ArrayList<>();
  private final Map<String, String> teamsByJob = new LinkedHashMap<>();
  private long responses;
  private long unanswered;
  private long maxResponseMs;
  private long startedAtMs;
  private boolean isSubmitting = true;
  private boolean isClosed;

  /** Creates callers that submit short tasks and send nothing yet. */
  SoakCallers(
      List<DaemonProcess> daemons,
      EventLoopThread loop,
      SuspendAwareClock clock,
      InvariantChecker checker,
      long seed,
      boolean mustBeAnswered) {
    this(daemons, loop, clock, checker, SoakLoad.SHORT_TASKS, seed, mustBeAnswered);
  }

  /**
   * Creates callers that send nothing yet.
   *
   * @param mustBeAnswered whether the end of a connection in place of a response is a breach
   */
  SoakCallers(
      List<DaemonProcess> daemons,
      EventLoopThread loop,
      SuspendAwareClock clock,
      InvariantChecker checker,
      SoakLoad load,
      long seed,
      boolean mustBeAnswered) {
    this.loop = loop;
    this.clock = clock;
    this.checker = checker;
    this.random = new Random(seed);
    this.cancellations = new Random(-seed);
    this.layout = load.layout();
    this.jobs = load.jobs(random, clock);
    this.mustBeAnswered = mustBeAnswered;
    this.loopDelays = new LoopDelays(loop, clock);
    for (DaemonProcess daemon : daemons) {
      for (int i = 0; i < CALLERS; i++) {
        clients.add(
            new CallerClient(
                daemon.callerAddress(), PlatformStandIn.HOST, REQUEST_TIMEOUT_MS, loop));
      }
    }
  }

  /** Sets whether the end of a connection in place of a response is a breach. */
  void expectAnswers(boolean mustBeAnswered) {
    this.mustBeAnswered = mustBeAnswered;
  }

  void start() {
    startedAtMs = clock.nowMs();
    loopDelays.start();
    submitNext();
    pollJobs();
  }

  /** Stops submitting jobs; status polling continues. */
  void stopSubmitting() {
    isSubmitting = false;
  }

  /** Returns the number of requests that got a response. */
  long responses() {
    return responses;
  }

  /** Returns the number of requests without a response. */
  long unanswered() {
    return unanswered;
  }

  /** Returns the longest response time in milliseconds. */
  long maxResponseMs() {
    return maxResponseMs;
  }

  private CallerClient anyClient() {
    return clients.get(random.nextInt(clients.size()));
  }

  private void submitNext() {
    if (isClosed || !isSubmitting) {
      return;
    }
    for (JobSpec job : jobs.next(clock.nowMs() - startedAtMs)) {
      teamsByJob.put(job.id(), job.team());
      checker.onSubmit(job, layout.poolOf(job.queue()));
      submit(job, 1, true);
      if (!job.isLongRunning() && cancellations.nextInt(ONE_EARLY_CANCELLATION_IN) == 0) {
        loop.schedule(cancellations.nextInt(MAX_EARLY_CANCEL_DELAY_MS), () -> cancel(job));
      }
    }
    loop.schedule(jobs.intervalMs(), this::submitNext);
  }

  /**
   * Submits a job, with retries until it is accepted or the attempts are used up.
   *
   * @param wereAllRefused whether the response to every earlier attempt was a refusal
   */
  private void submit(JobSpec job, int attempt, boolean wereAllRefused) {
    if (isClosed) {
      return;
    }
    long sentAtMs = clock.nowMs();
    CallerClient client = anyClient();
    client
        .submit(job, job.team())
        .whenComplete(
            (reply, failure) -> {
              recordResponse(sentAtMs, failure);
              boolean isRefused =
                  failure == null
                      && (reply.code() == TOO_MANY_REQUESTS || reply.code() == SERVICE_UNAVAILABLE);
              if (failure == null && reply.code() == OK) {
                onAccepted(job, client);
              } else if (isGivenUp(job, reply, failure)) {
                cancel(job);
              } else if (attempt < MAX_ATTEMPTS) {
                loop.schedule(
                    retryDelayMs(reply),
                    () -> submit(job, attempt + 1, wereAllRefused && isRefused));
              } else if (wereAllRefused && isRefused) {
                checker.onRefused(job.id());
              }
            });
  }

  /** Returns whether the caller gives up a job of which it does not know whether it is accepted. */
  private boolean isGivenUp(JobSpec job, Reply reply, Throwable failure) {
    return (failure != null || reply.code() == GATEWAY_TIMEOUT)
        && !job.isLongRunning()
        && cancellations.nextInt(ONE_GIVEN_UP_IN) == 0;
  }

  private static long retryDelayMs(Reply reply) {
    return reply == null
        ? RETRY_DELAY_MS
        : reply.retryAfterSeconds().map(seconds -> seconds * 1_000).orElse(RETRY_DELAY_MS);
  }

  private void recordResponse(long sentAtMs, Throwable failure) {
    if (failure == null) {
      responses++;
      maxResponseMs = Math.max(maxResponseMs, clock.nowMs() - sentAtMs);
    } else {
      unanswered++;
      long ageMs = clock.nowMs() - sentAtMs;
      if (mustBeAnswered && ageMs > READ_WITHIN_MS && isConnectionEnd(failure)) {
        checker.recordBreach(
            "LOST",
            "a connection ended "
                + ageMs
                + " ms after a request, with the callers up to "
                + loopDelays.longestSinceMs(sentAtMs)
                + " ms late: "
                + failure.getMessage());
      }
    }
  }

  /** Returns whether a request was sent and its connection ended before the caller's timeout. */
  private static boolean isConnectionEnd(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof PlatformException call
        && call.mayHaveTakenEffect()
        && !(call.getCause() instanceof TimeoutException);
  }

  private void onAccepted(JobSpec job, CallerClient client) {
    checker.onAccepted(job.id());
    jobs.cancelDelayMs(job)
        .ifPresent(
            delayMs -> {
              loop.schedule(delayMs, () -> cancel(job));
            });
    jobs.repeatDelayMs(job)
        .ifPresent(
            delayMs -> {
              loop.schedule(delayMs, () -> submitAgain(job, client));
            });
  }

  /** Submits an accepted job to another daemon than the one that has accepted it. */
  private void submitAgain(JobSpec job, CallerClient accepting) {
    if (isClosed) {
      return;
    }
    int otherDaemon = CALLERS * (1 + random.nextInt(Math.max(1, clients.size() / CALLERS - 1)));
    CallerClient client = clients.get((clients.indexOf(accepting) + otherDaemon) % clients.size());
    long sentAtMs = clock.nowMs();
    client
        .submit(job, job.team())
        .whenComplete((reply, failure) -> recordResponse(sentAtMs, failure));
  }

  private void cancel(JobSpec job) {
    if (isClosed) {
      return;
    }
    checker.onCancelRequested(job.id());
    long sentAtMs = clock.nowMs();
    anyClient()
        .cancel(job.queue(), job.id(), job.team())
        .whenComplete(
            (reply, failure) -> {
              recordResponse(sentAtMs, failure);
              if (failure == null && (reply.code() == OK || reply.code() == GONE)) {
                checker.onCancelConfirmed(job.id());
              } else {
                loop.schedule(RETRY_DELAY_MS, () -> cancel(job));
              }
            });
  }

  private void pollJobs() {
    if (isClosed) {
      return;
    }
    List<String> open = checker.openJobs();
    for (int i = 0; i < Math.min(POLLS_PER_INTERVAL, open.size()); i++) {
      pollStatus(open.get(random.nextInt(open.size())));
    }
    loop.schedule(POLL_INTERVAL_MS, this::pollJobs);
  }

  private void pollStatus(String jobId) {
    long requestedAtMs = clock.nowMs();
    anyClient()
        .status(checker.queueOf(jobId), jobId, teamsByJob.get(jobId))
        .whenComplete(
            (reply, failure) -> {
              recordResponse(requestedAtMs, failure);
              if (failure == null && reply.code() == GONE) {
                checker.onUnknownJob(jobId, requestedAtMs);
              } else if (failure == null) {
                reply
                    .status()
                    .ifPresent(status -> checker.onStatusReported(jobId, status, requestedAtMs));
              }
            });
  }

  /** Stops sending requests and closes the connections. */
  @Override
  public void close() {
    isClosed = true;
    loopDelays.close();
    clients.forEach(CallerClient::close);
  }
}
