package org.laburnumarch.internal.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.servicetalk.http.api.HttpRequestMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.http.PlatformHttpClient;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.CallerClient;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.standin.InvariantChecker;
import org.laburnumarch.internal.platform.standin.PlatformStandIn;
import org.laburnumarch.internal.platform.standin.StoreStandIn;
import org.laburnumarch.internal.time.SuspendAwareClock;

/** Tests daemon processes end to end through the API for callers, with a simulated platform. */
class DaemonProcessTest {

  private static final int PORT_COUNT = 300;
  private static final int METRICS_OFFSET = 61;

  /**
   * Enough for a takeover, the longest lease and the job itself; the target of the platform is
   * less.
   */
  private static final long TIMEOUT_MS = 20_000;

  private static final String TEAM = "pilgrims";

  @TempDir private Path directory;

  private final EventLoopThread loop = new EventLoopThread();
  private final SuspendAwareClock clock = new SuspendAwareClock();
  private final InvariantChecker checker = new InvariantChecker(clock, line -> {});
  private PortBlock ports;
  private SoakFleet fleet;

  @BeforeEach
  void startTwoDaemons() throws Exception {
    ports = PortBlock.reserve(PORT_COUNT);
    fleet = new SoakFleet(directory, ports.first(), 2, loop, clock, checker, 1);
    loop.call(
        () -> {
          fleet.platform().start();
          fleet.daemons().forEach(fleet::start);
          return null;
        });
  }

  @AfterEach
  void killAllProcesses() throws Exception {
    loop.call(
        () -> {
          fleet.close();
          return null;
        });
    loop.close();
    ports.close();
  }

  private static JobSpec jobOfTwoSteps(String id) {
    return new JobSpec(
        id,
        PlatformStandIn.BATCH_QUEUE,
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
    return new CallerClient(daemon.callerAddress(), PlatformStandIn.HOST, 2_000, loop);
  }

  /** Repeats a request until the response has the status code, as a caller does after a refusal. */
  private static void awaitStatusCode(int statusCode, Callable<Integer> call) throws Exception {
    long endMs = System.currentTimeMillis() + TIMEOUT_MS;
    int last = 0;
    while (last != statusCode && System.currentTimeMillis() < endMs) {
      last = call.call();
      if (last != statusCode) {
        TimeUnit.MILLISECONDS.sleep(100);
      }
    }
    assertThat(last).isEqualTo(statusCode);
  }

  private static int statusCode(CompletableFuture<CallerClient.Reply> reply) throws Exception {
    return reply.handle((response, failure) -> failure == null ? response.code() : 0).get();
  }

  private static void awaitCompletion(CallerClient caller, JobSpec job) throws Exception {
    long endMs = System.currentTimeMillis() + TIMEOUT_MS;
    Optional<JobStatus> status = Optional.empty();
    while (!status.equals(Optional.of(JobStatus.COMPLETED)) && System.currentTimeMillis() < endMs) {
      status =
          caller
              .status(job.queue(), job.id(), TEAM)
              .toCompletableFuture()
              .handle((reply, failure) -> failure == null ? reply.status() : noStatus())
              .get();
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertThat(status).contains(JobStatus.COMPLETED);
  }

  private static Optional<JobStatus> noStatus() {
    return Optional.empty();
  }

  @Nested
  class WhenTheOwnerIsKilled {

    /**
     * Guards against a job that is lost or runs twice because the owner was killed after accepting
     * it.
     */
    @Test
    void shouldCompleteAJobOfDependentSteps() throws Exception {
      JobSpec job = jobOfTwoSteps("00000000000000a1");
      checker.onSubmit(job, PlatformStandIn.BATCH_POOL);
      try (CallerClient first = caller(fleet.daemons().get(0));
          CallerClient second = caller(fleet.daemons().get(1))) {
        awaitStatusCode(200, () -> statusCode(first.submit(job, TEAM).toCompletableFuture()));
        DaemonProcess killed =
            loop.call(
                () -> {
                  checker.onAccepted(job.id());
                  DaemonProcess owner = fleet.owner().orElseThrow();
                  owner.kill();
                  return owner;
                });
        CallerClient survivor = killed == fleet.daemons().get(0) ? second : first;
        awaitCompletion(survivor, job);
      }
      assertThat(loop.call(checker::breaches)).isEmpty();
    }
  }

  private void awaitLog(DaemonProcess daemon, String text) {
    Path log = directory.resolve(daemon.name() + ".log");
    await()
        .atMost(Duration.ofMillis(TIMEOUT_MS))
        .until(() -> Files.exists(log) && Files.readString(log).contains(text));
  }

  @Nested
  class WhenOperatorsChangeTheConfigurationDuringAnOutageOfTheStore {

    /** Guards against a soak that judges daemons by a change which the store has never accepted. */
    @Test
    void shouldApplyTheChangeAfterTheOutage() throws Exception {
      DaemonProcess daemon = fleet.daemons().get(0);
      awaitLog(daemon, "operators: event=config");
      loop.call(
          () -> {
            fleet.platform().store().setFault(StoreStandIn.Fault.REFUSING);
            fleet.platform().changeConfig(config -> config.withoutQueues(name -> true));
            fleet.platform().store().setFault(StoreStandIn.Fault.NONE);
            return null;
          });
      awaitLog(daemon, "queues=0");
    }
  }

  @Nested
  class WhenADaemonIsToldToStopTwice {

    /** Guards against requests that are cut because two plans stop the same daemon. */
    @Test
    void shouldGoOnWithTheFirstStop() throws Exception {
      DaemonProcess daemon = fleet.daemons().get(0);
      awaitLog(daemon, "node: event=started");
      loop.execute(daemon::terminate);
      awaitLog(daemon, "node: event=stopping");
      loop.execute(daemon::terminate);
      awaitLog(daemon, "node: event=stopped");
    }
  }

  @Nested
  class WhenADaemonIsStartedAgainDuringItsPlannedRestart {

    /**
     * Guards against a soak that kills the new process and reports the cut requests as breaches.
     */
    @Test
    void shouldLeaveTheNewProcessRunning() throws Exception {
      DaemonProcess daemon = fleet.daemons().get(0);
      ProcessHandle started =
          loop.call(
              () -> {
                fleet.restarts().restart(daemon);
                daemon.close();
                fleet.start(daemon);
                return daemon.lastProcess();
              });
      await()
          .atMost(Duration.ofMillis(TIMEOUT_MS))
          .until(() -> loop.call(() -> fleet.restarts().isIdle()));
      assertThat(loop.call(daemon::lastProcess)).isEqualTo(started);
      assertThat(started.isAlive()).isTrue();
    }
  }

  @Nested
  class WhenAnotherWriterLeavesEntriesInTheRegistry {

    private static final String NESTED = "[".repeat(100_000) + "]".repeat(100_000);
    private static final Map<String, String> ENTRIES =
        Map.of(
            "nested", NESTED,
            "nested-field", entry("127.0.0.1:9", "8000", NESTED),
            "number", entry("127.0.0.1:9", "1e400", "[]"),
            "port", entry("127.0.0.1:65536", "8000", "[]"),
            "line\nbreak", entry("127.0.0.1:9", "8000", "[]"));

    private static String entry(String address, String cpu, String labels) {
      return """
      {"service": "%s", "address": "%s", "zone": "north", "state": "ready", "labels": %s,
       "capacity": {"cpu": %s, "memMb": 32000, "gpus": 0}, "born": 1}
      """
          .formatted(PlatformStandIn.BATCH_POOL, address, labels, cpu);
    }

    private void writeEntries() {
      ENTRIES.forEach(
          (id, value) ->
              fleet
                  .platform()
                  .store()
                  .write(
                      StoreClient.WORKER_REGISTRY_LOG,
                      id,
                      Optional.of(value.getBytes(StandardCharsets.UTF_8))));
    }

    /**
     * Guards against a daemon that ends, stops following the registry or uses a worker that does
     * not exist because of an entry that is not a worker's.
     */
    @Test
    void shouldCompleteAJob() throws Exception {
      loop.call(
          () -> {
            writeEntries();
            return null;
          });
      JobSpec job = jobOfTwoSteps("00000000000000d1");
      checker.onSubmit(job, PlatformStandIn.BATCH_POOL);
      try (CallerClient caller = caller(fleet.daemons().get(0))) {
        awaitStatusCode(200, () -> statusCode(caller.submit(job, TEAM).toCompletableFuture()));
        loop.call(
            () -> {
              checker.onAccepted(job.id());
              return null;
            });
        awaitCompletion(caller, job);
      }
      assertThat(loop.call(checker::breaches)).isEmpty();
      String owner = loop.call(() -> fleet.owner().orElseThrow().name());
      String log = Files.readString(directory.resolve(owner + ".log"));
      assertThat(log.lines().filter(line -> line.contains("event=unreadable")))
          .hasSize(ENTRIES.size());
      assertThat(log)
          .doesNotContain("event=no-report", "event=task-failed", "event=unhandled", "event=lost");
    }
  }

  @Nested
  class Callers {

    /** Guards against invalid requests that are carried out or get the wrong status code. */
    @Test
    void shouldGetAStatusCodeThatNamesTheFaultOfTheirRequest() throws Exception {
      JobSpec job = jobOfTwoSteps("00000000000000b1");
      try (CallerClient caller = caller(fleet.daemons().get(0))) {
        awaitStatusCode(
            410,
            () -> statusCode(caller.status(job.queue(), job.id(), TEAM).toCompletableFuture()));
        assertThat(statusCode(caller.submit(job, "nobody").toCompletableFuture())).isEqualTo(401);
        assertThat(statusCode(caller.status("nowhere", job.id(), TEAM).toCompletableFuture()))
            .isEqualTo(404);
        assertThat(statusCode(caller.status(job.queue(), "no-id", TEAM).toCompletableFuture()))
            .isEqualTo(400);
      }
    }
  }

  @Nested
  class Metrics {

    /** Guards against a daemon whose state is visible only in its log. */
    @Test
    void shouldCountResponsesAndShowTheOwnedTerm() throws Exception {
      DaemonProcess daemon = fleet.daemons().get(0);
      JobSpec job = jobOfTwoSteps("00000000000000c1");
      checker.onSubmit(job, PlatformStandIn.BATCH_POOL);
      try (CallerClient caller = caller(daemon);
          PlatformHttpClient metrics =
              new PlatformHttpClient(
                  new InetSocketAddress(
                      daemon.callerAddress().getAddress(), ports.first() + METRICS_OFFSET),
                  loop)) {
        awaitStatusCode(200, () -> statusCode(caller.submit(job, TEAM).toCompletableFuture()));
        String text =
            metrics
                .call(
                    HttpRequestMethod.GET,
                    "/metrics",
                    new byte[0],
                    2_000,
                    response -> response.body())
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
