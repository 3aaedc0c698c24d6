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
import org.laburnumarch.internal.http.HttpLoop;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.node.Node;
import org.laburnumarch.internal.platform.CallerClient;
import org.laburnumarch.internal.platform.CallerClient.Reply;
import org.laburnumarch.internal.platform.NodeSettings;
import org.laburnumarch.internal.platform.standin.DaemonSettingsFile;
import org.laburnumarch.internal.platform.standin.FleetStandIn;
import org.laburnumarch.internal.platform.standin.PromiseJudge;
import org.laburnumarch.internal.soak.PortBlock;
import org.laburnumarch.internal.time.LocalClock;
import org.tinylog.Logger;

/**
 * The subcommand {@code rehearsal}: takes a job through two daemons and a change of the owner, in
 * this process. With {@code -XX:ArchiveClassesAtExit} the virtual machine archives the classes that
 * this loads; a daemon that starts with the archive is ready in a fraction of the processor time.
 */
public final class RehearsalCommand implements Subcommand {

  private static final int PORTS = 100;

  // Offsets from the first port.
  private static final int INSTANCES = 1;
  private static final int CALLERS = 2;
  private static final int READINESS = 3;
  private static final int LINKS = 4;
  private static final int WORKERS = 10;

  private static final String TEAM = FleetStandIn.TEAMS.get(0);
  private static final long PATIENCE_MS = 2_000;
  private static final long RETRY_MS = 50;

  /** A healthy rehearsal takes 5 s. */
  private static final long LIMIT_MS = 30_000;

  @Override
  public int run(String[] args, PrintStream out, PrintStream err) {
    try (PortBlock ports = PortBlock.reserve(PORTS)) {
      boolean isDone = rehearse(ports.first());
      out.println("rehearsal: " + (isDone ? "done" : "the job did not end in time"));
      return isDone
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
    InetSocketAddress instances = new InetSocketAddress(loopback, firstPort + INSTANCES);
    LocalClock clock = new LocalClock();
    PromiseJudge judge = new PromiseJudge(clock, line -> {});
    try (HttpLoop loop = new HttpLoop();
        FleetStandIn platform =
            new FleetStandIn(
                new FleetStandIn.Addresses(store, instances, firstPort + WORKERS),
                loop,
                clock,
                UnaryOperator.identity(),
                judge,
                Map.of(FleetStandIn.DESK, 2, FleetStandIn.YARD, 1, FleetStandIn.RESERVE, 2),
                1)) {
      loop.execute(platform::start);
      try (Node first = start("first", "127.0.0.2", firstPort, store, instances);
          Node second = start("second", "127.0.0.3", firstPort, store, instances)) {
        boolean isDone = takeJobThrough(firstPort, "127.0.0.2", "00000000000000a1", loop, judge);
        first.stop().toCompletableFuture().get(LIMIT_MS, TimeUnit.MILLISECONDS);
        Logger.info("rehearsal: {} has handed over to {}", first, second);
        return takeJobThrough(firstPort, "127.0.0.3", "00000000000000a2", loop, judge) && isDone;
      }
    }
  }

  private static Node start(
      String name, String ip, int firstPort, InetSocketAddress store, InetSocketAddress instances)
      throws Exception {
    Path settings = Files.createTempFile("rehearsal-" + name, ".json");
    try {
      DaemonSettingsFile.write(
          settings,
          new DaemonSettingsFile.Place(
              name,
              ip,
              firstPort + CALLERS,
              firstPort + READINESS,
              firstPort + LINKS,
              store,
              instances));
      return new Node(NodeSettings.read(settings), () -> 0);
    } finally {
      Files.deleteIfExists(settings);
    }
  }

  private static boolean takeJobThrough(
      int firstPort, String ip, String jobId, HttpLoop loop, PromiseJudge judge)
      throws InterruptedException, IOException {
    JobSpec job =
        new JobSpec(
            jobId,
            FleetStandIn.SHORT_QUEUE,
            TEAM,
            "rehearsal",
            List.of(step(List.of()), step(List.of(0))),
            0,
            0,
            0,
            0);
    loop.execute(() -> judge.onSubmit(job, FleetStandIn.DESK));
    long endMs = System.currentTimeMillis() + LIMIT_MS;
    InetSocketAddress daemon =
        new InetSocketAddress(InetAddress.getByName(ip), firstPort + CALLERS);
    try (CallerClient caller = new CallerClient(daemon, FleetStandIn.HOST, PATIENCE_MS, loop)) {
      boolean isAccepted = false;
      while (System.currentTimeMillis() < endMs) {
        Optional<Reply> reply =
            answer(
                isAccepted
                    ? caller.status(job.queue(), jobId, TEAM).toCompletableFuture()
                    : caller.submit(job, TEAM).toCompletableFuture());
        isAccepted |= reply.map(it -> it.code() == 200).orElse(false);
        if (reply.flatMap(Reply::status).equals(Optional.of(JobStatus.COMPLETED))) {
          return true;
        }
        TimeUnit.MILLISECONDS.sleep(RETRY_MS);
      }
    }
    return false;
  }

  private static Optional<Reply> answer(CompletableFuture<Reply> reply)
      throws InterruptedException {
    try {
      return Optional.of(reply.get());
    } catch (ExecutionException e) {
      Logger.debug("rehearsal: no answer yet: {}", e.getCause().getMessage());
      return Optional.empty();
    }
  }

  private static StepSpec step(List<Integer> after) {
    return StepSpec.ofTasks(4, new Resources(500, 1_000, 0), 300, after);
  }
}
