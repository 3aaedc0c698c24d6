package org.laburnumarch.internal.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.laburnumarch.internal.peer.PeerMessage;
import org.laburnumarch.internal.peer.PeerMessage.Ping;
import org.laburnumarch.internal.peer.PeerMessage.Pong;
import org.laburnumarch.internal.peer.PeerMessage.PoolDemand;
import org.laburnumarch.internal.peer.PeerMessage.Report;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Prints the cost of pings and checks the bandwidth limit of the design. */
class PingCostTest {
  private static final long MEASURED_MS = 60_000;

  @ParameterizedTest
  @CsvSource({"9, 5", "36, 5", "36, 30"})
  void shouldStayBelowTheBandwidthLimit(int daemons, int pools) {
    FakeFleet fleet = new FakeFleet(1, new FakeFleet.InjectedDefects());
    fleet.maxSeats = 48;
    fleet.setLimit("a", 40);
    for (int i = 0; i < daemons; i++) {
      fleet.start(i % 3);
    }
    fleet.time.runUntil(30_000);
    List<PoolDemand> demand =
        IntStream.range(0, pools).mapToObj(i -> new PoolDemand("pool-" + i, 40, 120)).toList();
    fleet.daemons.forEach(d -> d.decisions.onDemand(demand));
    long[] sent = new long[2];
    fleet.onSent =
        message -> {
          sent[0]++;
          sent[1] += sizeBytes(message);
        };
    fleet.time.runUntil(30_000 + MEASURED_MS);
    fleet.onSent = message -> {};
    double perDaemonSecond = 1.0 * daemons * MEASURED_MS / 1_000;
    double bytes = sent[1] / perDaemonSecond;
    System.out.printf(
        "%d daemons, %d pools: %.1f messages/s, %.0f bytes/s, %.1f us per tick%n",
        daemons, pools, sent[0] / perDaemonSecond, bytes, tickMicros(fleet));
    assertThat(bytes).as("bytes per second and daemon, limit 2 KB/s").isLessThan(2_000);
  }

  private static double tickMicros(FakeFleet fleet) {
    FakeDaemon one = fleet.daemons.get(0);
    long nowMs = one.clockMs();
    int ticks = 40_000;
    long start = 0;
    for (int i = 0; i < 2 * ticks; i++) {
      if (i == ticks) {
        start = System.nanoTime();
      }
      one.decisions.onTailConfirmed(nowMs);
      one.decisions.onTick(one.state, nowMs += FakeFleet.TICK_MS);
    }
    return (System.nanoTime() - start) / 1_000.0 / ticks;
  }

  /** Size of the length prefix and the MessagePack array that the transport writes. */
  private static int sizeBytes(PeerMessage message) {
    if (message instanceof Ping ping) {
      return sizeBytes(ping.pingId(), ping.report());
    }
    return message instanceof Pong pong ? sizeBytes(pong.pingId(), pong.report()) : 30;
  }

  private static int sizeBytes(long pingId, Report report) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(6).packInt(3).packLong(pingId);
      packer.packLong(report.nextOffset()).packLong(report.freshnessAgeMs());
      packer.packArrayHeader(report.heartbeats().size());
      for (var heartbeat : report.heartbeats()) {
        packer.packArrayHeader(2).packString(heartbeat.memberId()).packLong(heartbeat.ageMs());
      }
      packer.packArrayHeader(report.demand().size());
      for (var demand : report.demand()) {
        packer.packArrayHeader(3).packString(demand.pool());
        packer.packInt(demand.running()).packInt(demand.queued());
      }
      return 4 + packer.toByteArray().length;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
