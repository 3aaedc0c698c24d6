package org.laburnumarch.internal.experiment;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.codahale.metrics.MetricRegistry;
import com.sun.management.OperatingSystemMXBean;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.HostAndPort;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.entry.EntryResponse;
import org.laburnumarch.internal.entry.EntryServer;
import org.laburnumarch.internal.entry.EntrySettings;

/**
 * Measures the latency and processor time that the entry adds to a request, compared with a
 * forwarder that makes no decisions.
 *
 * <p>Everything runs in one process over loopback. The paths are measured alternately in several
 * rounds, so that changes in the load of the machine affect all of them.
 */
public final class EntryBench {
  private static final int[] CALLER_COUNTS = {1, 8, 32};
  private static final double NANOS_PER_US = 1e3;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Arguments of a run. */
  private static final class Arguments {
    @Parameter(names = "--seconds", description = "measured seconds per path and round")
    private int seconds = 3;

    @Parameter(names = "--rounds", description = "rounds; each measures every path once")
    private int rounds = 3;

    @Parameter(names = "--warm-up-seconds", description = "warm-up seconds per path")
    private int warmUpSeconds = 5;
  }

  /** The measurements of one path with one number of callers, summed over all rounds. */
  private static final class Measurement {
    private final Histogram latencies = new Histogram(60_000_000_000L, 3);
    private long elapsedNanos;
    private long cpuNanos;
    private long errorCount;

    double quantileUs(double percentile) {
      return latencies.getValueAtPercentile(percentile) / NANOS_PER_US;
    }

    double perSecond() {
      return latencies.getTotalCount() * NANOS_PER_SECOND / elapsedNanos;
    }

    double cpuUs() {
      return cpuNanos / NANOS_PER_US / latencies.getTotalCount();
    }
  }

  /**
   * A path that requests take: directly to the minion, through the forwarder or through the entry.
   */
  private record Path(String name, int port, String target) {}

  /**
   * Runs the benchmark.
   *
   * @return 0 if the entry adds at most 1.3 times what the forwarder adds, 1 if it adds more
   */
  public int run(String[] args, PrintStream out, PrintStream err) {
    Arguments arguments = new Arguments();
    try {
      JCommander.newBuilder().addObject(arguments).build().parse(args);
    } catch (ParameterException e) {
      err.println(e.getMessage());
      return ResultCode.USAGE.outcome().exitStatus();
    }
    try {
      return measure(arguments, out);
    } catch (Exception e) {
      err.println("the benchmark failed: " + e);
      return ResultCode.INTERNAL_ERROR.outcome().exitStatus();
    }
  }

  private static int measure(Arguments arguments, PrintStream out) throws Exception {
    HttpServerContext minion = helloServer();
    int minionPort = port(minion);
    try (EntryServer entry = startEntry(minionPort)) {
      HttpServerContext forwarder = startForwarder(minionPort);
      List<Path> paths =
          List.of(
              new Path("direct", minionPort, "/"),
              new Path("forwarder", port(forwarder), "/"),
              new Path("entry", entry.port(), "/hello/"));
      for (Path path : paths) {
        runLoad(path, 8, arguments.warmUpSeconds, new Measurement());
      }
      boolean isWithinTarget = true;
      for (int callers : CALLER_COUNTS) {
        isWithinTarget &= compare(paths, callers, arguments, out);
      }
      forwarder.closeAsync().subscribe();
      return isWithinTarget ? 0 : 1;
    } finally {
      minion.closeAsync().subscribe();
    }
  }

  private static boolean compare(
      List<Path> paths, int callers, Arguments arguments, PrintStream out)
      throws InterruptedException {
    Map<String, Measurement> measurements = new TreeMap<>();
    for (int round = 0; round < arguments.rounds; round++) {
      for (Path path : paths) {
        Measurement measurement =
            measurements.computeIfAbsent(path.name(), name -> new Measurement());
        runLoad(path, callers, arguments.seconds, measurement);
      }
    }
    for (Path path : paths) {
      print(path.name(), callers, measurements.get(path.name()), measurements.get("direct"), out);
    }
    boolean isWithinTarget = true;
    for (double percentile : new double[] {50, 99}) {
      double direct = measurements.get("direct").quantileUs(percentile);
      double forwarder = measurements.get("forwarder").quantileUs(percentile) - direct;
      double entry = measurements.get("entry").quantileUs(percentile) - direct;
      out.printf(
          "callers %2d p%.0f: forwarder adds %.0f us, entry adds %.0f us, ratio %.2f%n",
          callers, percentile, forwarder, entry, entry / forwarder);
      isWithinTarget &= entry <= 1.3 * forwarder;
    }
    return isWithinTarget;
  }

  private static void print(
      String name, int callers, Measurement measurement, Measurement direct, PrintStream out) {
    double addedCpuUs = measurement.cpuUs() - direct.cpuUs();
    out.printf(
        "callers %2d %-9s p50 %6.0f us  p99 %6.0f us  %8.0f requests/s  errors %d",
        callers,
        name,
        measurement.quantileUs(50),
        measurement.quantileUs(99),
        measurement.perSecond(),
        measurement.errorCount);
    if (measurement == direct) {
      out.println();
    } else {
      out.printf(
          "  adds %.1f us of processor time, %.0f requests/s per core%n",
          addedCpuUs, 1e6 / addedCpuUs);
    }
  }

  private static void runLoad(Path path, int callers, int seconds, Measurement measurement)
      throws InterruptedException {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    AtomicBoolean isStopped = new AtomicBoolean();
    List<BenchCaller> running = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    long startCpu = system.getProcessCpuTime();
    long start = System.nanoTime();
    for (int i = 0; i < callers; i++) {
      BenchCaller caller = new BenchCaller(path.port(), path.target(), BenchFleet.KEY, isStopped);
      running.add(caller);
      Thread thread = new Thread(caller, "caller-" + i);
      threads.add(thread);
      thread.start();
    }
    long end = start + seconds * (long) NANOS_PER_SECOND;
    for (long now = start; now < end; now = System.nanoTime()) {
      LockSupport.parkNanos(end - now);
    }
    isStopped.set(true);
    for (Thread thread : threads) {
      thread.join();
    }
    measurement.elapsedNanos += System.nanoTime() - start;
    measurement.cpuNanos += system.getProcessCpuTime() - startCpu;
    for (BenchCaller caller : running) {
      measurement.latencies.add(caller.latencies());
      measurement.errorCount += caller.errorCount();
    }
  }

  private static EntryServer startEntry(int minionPort) throws Exception {
    return EntryServer.start(
        EntrySettings.of("127.0.0.1", 0),
        BenchFleet.environment(minionPort),
        (method, path, headers, body) ->
            CompletableFuture.completedFuture(EntryResponse.text(404, "text/plain", "")),
        new MetricRegistry());
  }

  private static HttpServerContext helloServer() throws Exception {
    return HttpServers.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .executionStrategy(HttpExecutionStrategies.offloadNone())
        .listen(
            (context, request, factory) -> {
              var response = factory.ok();
              var body = context.executionContext().bufferAllocator().fromAscii("hello");
              return io.servicetalk.concurrent.api.Single.succeeded(response.payloadBody(body));
            })
        .toFuture()
        .get();
  }

  private static HttpServerContext startForwarder(int minionPort) throws Exception {
    StreamingHttpClient client =
        HttpClients.forResolvedAddress(HostAndPort.of("127.0.0.1", minionPort))
            .executionStrategy(HttpExecutionStrategies.offloadNone())
            .buildStreaming();
    return HttpServers.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .executionStrategy(HttpExecutionStrategies.offloadNone())
        .listenStreaming((context, request, factory) -> client.request(request))
        .toFuture()
        .get();
  }

  private static int port(HttpServerContext server) {
    return ((InetSocketAddress) server.listenAddress()).getPort();
  }

  /** Runs the benchmark from the command line. */
  public static void main(String[] args) {
    System.exit(new EntryBench().run(args, System.out, System.err));
  }
}
