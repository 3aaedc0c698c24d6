package org.laburnumarch.internal.rehearsal;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.cli.Subcommand;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.node.Node;
import org.laburnumarch.internal.platform.CallerClient;
import org.laburnumarch.internal.platform.CallerClient.Reply;
import org.laburnumarch.internal.platform.NodeSettings;
import org.laburnumarch.internal.platform.standin.DaemonSettingsFile;
import org.laburnumarch.internal.platform.standin.InvariantChecker;
import org.laburnumarch.internal.platform.standin.PlatformStandIn;
import org.laburnumarch.internal.soak.PortBlock;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/**
 * The subcommand {@code rehearsal}: runs a job on each of two daemons, with a handover of the
 * ownership in between, in this process. With {@code -XX:ArchiveClassesAtExit} the virtual machine
 * archives the classes that this run loads; a daemon that starts with the archive needs only a
 * fraction of the processor time until it is ready.
 */
public final class RehearsalCommand implements Subcommand {

  private static final int PORT_COUNT = 100;

  // Offsets from the first port.
  private static final int INSTANCE_SERVICE_PORT_OFFSET = 1;
  private static final int CALLER_PORT_OFFSET = 2;
  private static final int READINESS_PORT_OFFSET = 3;
  private static final int LINK_PORT_OFFSET = 4;
  private static final int FIRST_WORKER_PORT_OFFSET = 10;

  private static final String TEAM = PlatformStandIn.TEAMS.get(0);
  private static final long REQUEST_TIMEOUT_MS = 2_000;
  private static final long POLL_INTERVAL_MS = 50;

  /** A rehearsal without problems takes 5 s. */
  private static final long JOB_TIMEOUT_MS = 30_000;

  @Override
  public int run(String[] args, PrintStream out, PrintStream err) {
    try (PortBlock ports = PortBlock.reserve(PORT_COUNT)) {
      boolean isComplete = rehearse(ports.first());
      out.println("rehearsal: " + (isComplete ? "done" : "a job did not complete in time"));
      return isComplete
          ? ResultCode.OK.outcome().exitStatus()
          : ResultCode.OUTCOME_UNKNOWN.outcome().exitStatus();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ResultCode.INTERNAL_ERROR.outcome().exitStatus();
    } catch (Exception e) {
      Logger.error(e, "rehearsal: event=failed");
      err.println("rehearsal: " + e);
      return ResultCode.INTERNAL_ERROR.outcome().exitStatus();
    }
  }

  private static boolean rehearse(int firstPort) throws Exception {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    InetSocketAddress store = new InetSocketAddress(loopback, firstPort);
    InetSocketAddress instanceService =
        new InetSocketAddress(loopback, firstPort + INSTANCE_SERVICE_PORT_OFFSET);
    SuspendAwareClock clock = new SuspendAwareClock();
    InvariantChecker checker = new InvariantChecker(clock, line -> {});
    try (EventLoopThread loop = new EventLoopThread();
        PlatformStandIn platform =
            new PlatformStandIn(
                new PlatformStandIn.Addresses(
                    store, instanceService, firstPort + FIRST_WORKER_PORT_OFFSET),
                loop,
                clock,
                UnaryOperator.identity(),
                checker,
                Map.of(
                    PlatformStandIn.BATCH_POOL,
                    2,
                    PlatformStandIn.LONG_RUNNING_POOL,
                    1,
                    PlatformStandIn.SPARE_POOL,
                    2),
                1)) {
      loop.execute(platform::start);
      try (Node first = start("first", "127.0.0.2", firstPort, store, instanceService);
          Node second = start("second", "127.0.0.3", firstPort, store, instanceService)) {
        boolean isComplete = runJob(firstPort, "127.0.0.2", "00000000000000a1", loop, checker);
        first
            .stop(System.nanoTime())
            .toCompletableFuture()
            .get(JOB_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        Logger.info("rehearsal: {} handed over the ownership to {}", first, second);
        return runJob(firstPort, "127.0.0.3", "00000000000000a2", loop, checker) && isComplete;
      }
    }
  }

  private static Node start(
      String name,
      String ip,
      int firstPort,
      InetSocketAddress store,
      InetSocketAddress instanceService)
      throws Exception {
    Path settings = Files.createTempFile("rehearsal-" + name, ".json");
    try {
      DaemonSettingsFile.write(
          settings,
          new DaemonSettingsFile.DaemonAddresses(
              name,
              ip,
              firstPort + CALLER_PORT_OFFSET,
              firstPort + READINESS_PORT_OFFSET,
              firstPort + LINK_PORT_OFFSET,
              store,
              instanceService));
      return new Node(NodeSettings.read(settings), () -> 0);
    } finally {
      Files.deleteIfExists(settings);
    }
  }

  private static boolean runJob(
      int firstPort, String ip, String jobId, EventLoopThread loop, InvariantChecker checker)
      throws InterruptedException, IOException {
    JobSpec job =
        new JobSpec(
            jobId,
            PlatformStandIn.BATCH_QUEUE,
            TEAM,
            "rehearsal",
            List.of(step(List.of()), step(List.of(0))),
            0,
            0,
            0,
            0);
    loop.execute(() -> checker.onSubmit(job, PlatformStandIn.BATCH_POOL));
    long endMs = System.currentTimeMillis() + JOB_TIMEOUT_MS;
    InetSocketAddress daemon =
        new InetSocketAddress(InetAddress.getByName(ip), firstPort + CALLER_PORT_OFFSET);
    try (CallerClient caller =
        new CallerClient(daemon, PlatformStandIn.HOST, REQUEST_TIMEOUT_MS, loop)) {
      boolean isAccepted = false;
      while (System.currentTimeMillis() < endMs) {
        Optional<Reply> reply =
            awaitReply(
                isAccepted
                    ? caller.status(job.queue(), jobId, TEAM).toCompletableFuture()
                    : caller.submit(job, TEAM).toCompletableFuture());
        isAccepted |= reply.map(received -> received.code() == 200).orElse(false);
        if (reply.flatMap(Reply::status).equals(Optional.of(JobStatus.COMPLETED))) {
          return true;
        }
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
      }
    }
    return false;
  }

  private static Optional<Reply> awaitReply(CompletableFuture<Reply> reply)
      throws InterruptedException {
    try {
      return Optional.of(reply.get());
    } catch (ExecutionException e) {
      Logger.debug("rehearsal: no response yet: {}", e.getCause().getMessage());
      return Optional.empty();
    }
  }

  private static StepSpec step(List<Integer> after) {
    return StepSpec.ofTasks(4, new Resources(500, 1_000, 0), 300, after);
  }
}
