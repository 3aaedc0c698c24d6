package org.laburnumarch.internal.emulator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Minions on free loopback ports that track the concurrent runs per team together. */
public final class TestMinions implements AutoCloseable {
  private final Timer timer = new Timer("minions");
  private final TeamConcurrency teamConcurrency = new TeamConcurrency();
  private final List<MinionStandIn> minions = new ArrayList<>();

  /** Starts minions with a mean service time. */
  public TestMinions(int count, double meanMs) throws Exception {
    for (int i = 0; i < count; i++) {
      minions.add(
          new MinionStandIn(
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
              MinionLimits.DEFAULT,
              new ServiceTimes(meanMs, i + 1),
              teamConcurrency,
              timer));
    }
  }

  /** Returns the addresses as host:port. */
  public List<String> addresses() {
    return minions.stream().map(minion -> Addresses.format(minion.address())).toList();
  }

  /** Returns the number of runs by request id over all minions. */
  public Map<String, Integer> runs() {
    return runsOf(minions);
  }

  /** Returns the number of runs of one minion. */
  public int runsAt(int index) {
    return runsOf(List.of(minions.get(index))).values().stream().mapToInt(Integer::intValue).sum();
  }

  private static Map<String, Integer> runsOf(List<MinionStandIn> queried) {
    try {
      return MinionTotals.collect(queried.stream().map(MinionStandIn::address).toList(), true)
          .runs();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the maximum number of concurrent runs of a team over all minions. */
  public int maxConcurrentRuns(String team) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    teamConcurrency.write(body);
    return body.path("teamMaxConcurrent").path(team).asInt();
  }

  @Override
  public void close() {
    minions.forEach(MinionStandIn::close);
    timer.close();
  }
}
