package org.laburnumarch.internal.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.servicetalk.http.api.HttpRequestMethod;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laburnumarch.internal.http.HttpLoop;
import org.laburnumarch.internal.http.PlatformHttpClient;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.CallerClient;
import org.laburnumarch.internal.platform.standin.FleetStandIn;
import org.laburnumarch.internal.platform.standin.PromiseJudge;
import org.laburnumarch.internal.time.LocalClock;

/** Guards the whole path of a daemon as its callers see it, with a platform of stand-ins. */
class DaemonProcessTest {

  private static final int PORTS = 300;
  private static final int METRICS_OFFSET = 61;

  /** A take-over, the longest lease and the job itself; the target of the platform is less. */
  private static final long BOUND_MS = 20_000;

  private static final String TEAM = "pilgrims";

  @TempDir private Path directory;

  private final HttpLoop loop = new HttpLoop();
  private final LocalClock clock = new LocalClock();
  private final PromiseJudge judge = new PromiseJudge(clock, line -> {});
  private PortBlock ports;
  private SoakFleet fleet;

  @BeforeEach
  void startTwoDaemons() throws Exception {
    ports = PortBlock.reserve(PORTS);
    fleet = new SoakFleet(directory, ports.first(), 2, loop, clock, judge, 1);
    loop.call(
        () -> {
          fleet.platform().start();
          fleet.daemons().forEach(fleet::start);
          return null;
        });
  }

  @AfterEach
  void endAllProcesses() throws Exception {
    loop.call(
        () -> {
          fleet.close();
          return null;
        });
    loop.close();
    ports.close();
  }

  private static JobSpec twoSteps(String id) {
    return new JobSpec(
        id,
        FleetStandIn.SHORT_QUEUE,
        TEAM,
        "program",
        List.of(step(4, List.of()), step(2, List.of(0))),
        0,
        0,
        0,
        0);
  }

  private static StepSpec step(int count, List<Integer> after) {
    return StepSpec.ofTasks(count, new Resources(500, 1_000, 0), 900, after);
  }

  private CallerClient caller(DaemonProcess daemon) {
    return new CallerClient(daemon.callers(), FleetStandIn.HOST, 2_000, loop);
  }

  /** Repeats a call until it has the code, as a caller does after a refusal. */
  private static void retryUntil(int code, Callable<Integer> call) throws Exception {
    long endMs = System.currentTimeMillis() + BOUND_MS;
    int last = 0;
    while (last != code && System.currentTimeMillis() < endMs) {
      last = call.call();
      if (last != code) {
        TimeUnit.MILLISECONDS.sleep(100);
      }
    }
    assertThat(last).isEqualTo(code);
  }

  private static int code(CompletableFuture<CallerClient.Reply> reply) throws Exception {
    return reply.handle((answer, failure) -> failure == null ? answer.code() : 0).get();
  }

  private static void awaitCompletion(CallerClient caller, JobSpec job) throws Exception {
    long endMs = System.currentTimeMillis() + BOUND_MS;
    Optional<JobStatus> status = Optional.empty();
    while (!status.equals(Optional.of(JobStatus.COMPLETED)) && System.currentTimeMillis() < endMs) {
      status =
          caller
              .status(job.queue(), job.id(), TEAM)
              .toCompletableFuture()
              .handle((reply, failure) -> failure == null ? reply.status() : status())
              .get();
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertThat(status).contains(JobStatus.COMPLETED);
  }

  private static Optional<JobStatus> status() {
    return Optional.empty();
  }

  @Nested
  class WhenTheOwnerIsKilled {

    /** Guards against a job that is lost or runs twice because its owner ended in between. */
    @Test
    void shouldCompleteAJobOfDependentSteps() throws Exception {
      JobSpec job = twoSteps("00000000000000a1");
      judge.onSubmit(job, FleetStandIn.DESK);
      try (CallerClient first = caller(fleet.daemons().get(0));
          CallerClient second = caller(fleet.daemons().get(1))) {
        retryUntil(200, () -> code(first.submit(job, TEAM).toCompletableFuture()));
        DaemonProcess killed =
            loop.call(
                () -> {
                  judge.onAccepted(job.id());
                  DaemonProcess owner = fleet.owner().orElseThrow();
                  owner.kill();
                  return owner;
                });
        CallerClient survivor = killed == fleet.daemons().get(0) ? second : first;
        awaitCompletion(survivor, job);
      }
      assertThat(loop.call(judge::breaches)).isEmpty();
    }
  }

  @Nested
  class Callers {

    /** Guards against requests that are carried out, or refused with the wrong answer. */
    @Test
    void shouldBeToldWhatIsWrongWithTheirRequest() throws Exception {
      JobSpec job = twoSteps("00000000000000b1");
      try (CallerClient caller = caller(fleet.daemons().get(0))) {
        retryUntil(
            410, () -> code(caller.status(job.queue(), job.id(), TEAM).toCompletableFuture()));
        assertThat(code(caller.submit(job, "nobody").toCompletableFuture())).isEqualTo(401);
        assertThat(code(caller.status("nowhere", job.id(), TEAM).toCompletableFuture()))
            .isEqualTo(404);
        assertThat(code(caller.status(job.queue(), "no-id", TEAM).toCompletableFuture()))
            .isEqualTo(400);
      }
    }
  }

  @Nested
  class Metrics {

    /** Guards against a process whose state shows nowhere but in its log. */
    @Test
    void shouldCountAnswersAndShowTheOwnedTerm() throws Exception {
      DaemonProcess daemon = fleet.daemons().get(0);
      JobSpec job = twoSteps("00000000000000c1");
      judge.onSubmit(job, FleetStandIn.DESK);
      try (CallerClient caller = caller(daemon);
          PlatformHttpClient metrics =
              new PlatformHttpClient(
                  new InetSocketAddress(
                      daemon.callers().getAddress(), ports.first() + METRICS_OFFSET),
                  loop)) {
        retryUntil(200, () -> code(caller.submit(job, TEAM).toCompletableFuture()));
        String text =
            metrics
                .call(
                    HttpRequestMethod.GET, "/metrics", new byte[0], 2_000, answer -> answer.body())
                .toCompletableFuture()
                .get();
        assertThat(text)
            .contains("laburnumarch_caller_answers_total{kind=\"POST 200\"} 1")
            .contains("laburnumarch_owned_term ")
            .contains("laburnumarch_caller_answer_seconds{quantile=\"0.99\"}");
      }
      assertThat(Files.size(directory.resolve(daemon.name() + ".log"))).isPositive();
    }
  }
}
