package org.laburnumarch.internal.daemon;

import java.util.List;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.daemon.TestFleet.Node;

/**
 * Measures how long changes take to reach all daemons, and the bytes that control traffic takes.
 *
 * <p>Run by hand; ends by itself within two minutes.
 */
final class FleetMeasurement {
  private static final int CHANGES = 50;
  private static final long IDLE_SECONDS = 10;

  private FleetMeasurement() {}

  /** Prints one line for each figure. */
  public static void main(String[] args) throws Exception {
    try (TestFleet fleet = new TestFleet(5)) {
      fleet.startServing("entry-one", "entry-two", "entry-three");
      List<Node> nodes = List.copyOf(fleet.nodes.values());
      print("no faults", measurePropagation(fleet, nodes));
      System.out.println("control bytes/s per daemon, idle: " + measureIdleBytesPerSecond(nodes));
      nodes.get(2).log.set(Relay.UNNAMED, Relay.Mode.SILENT);
      print("one daemon cut off from the log", measurePropagation(fleet, nodes));
    }
  }

  private static Histogram measurePropagation(TestFleet fleet, List<Node> nodes) {
    Histogram latencyMs = new Histogram(60_000, 3);
    for (int i = 0; i < CHANGES; i++) {
      long base = fleet.version(nodes.get(0));
      long startNs = System.nanoTime();
      TestFleet.check(
          fleet
              .applyConfig(
                  nodes.get(0), TestFleet.configText(20 + (int) base), base, UUID.randomUUID())
              .is(ResultCode.OK));
      for (Node node : nodes) {
        while (fleet.version(node) <= base) {
          Thread.onSpinWait();
        }
      }
      latencyMs.recordValue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs));
    }
    return latencyMs;
  }

  /**
   * Each message between peers passes one relay, but counts for both its sender and its receiver.
   */
  private static long measureIdleBytesPerSecond(List<Node> nodes) throws InterruptedException {
    long before = forwardedBytes(nodes);
    boolean ignored = new CountDownLatch(1).await(IDLE_SECONDS, TimeUnit.SECONDS);
    return (forwardedBytes(nodes) - before) / IDLE_SECONDS / nodes.size();
  }

  private static long forwardedBytes(List<Node> nodes) {
    return nodes.stream()
        .mapToLong(node -> node.log.forwardedBytes() + 2 * node.peers.forwardedBytes())
        .sum();
  }

  private static void print(String what, Histogram latencyMs) {
    System.out.printf(
        "in force everywhere, %s, %d changes: p50 %d ms, p99 %d ms, max %d ms%n",
        what,
        latencyMs.getTotalCount(),
        latencyMs.getValueAtPercentile(50),
        latencyMs.getValueAtPercentile(99),
        latencyMs.getMaxValue());
  }
}
