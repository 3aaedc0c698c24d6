package org.laburnumarch.internal.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Sums and maxima over the statistics of several minions. */
final class MinionTotals {

  private static final byte[] EMPTY_BODY = new byte[0];

  /** The statistics of a long run take some megabytes. */
  private static final long STATS_TIMEOUT_MS = 10_000;

  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<String, Integer> teamMaxConcurrent = new TreeMap<>();
  private long started;
  private int maxConcurrent;
  private int maxConnections;
  private long refusedConnections;
  private long lastStartAfterLeavingMs = -1;

  private boolean complete = true;

  /**
   * Fetches the statistics of minions.
   *
   * @param withRuns whether to fetch the number of runs by request id, which may be large
   */
  static MinionTotals collect(List<InetSocketAddress> minions, boolean withRuns)
      throws IOException {
    MinionTotals totals = new MinionTotals();
    totals.complete = !minions.isEmpty();
    for (InetSocketAddress minion : minions) {
      try (LoadClient client = new LoadClient(minion)) {
        LoadClient.Reply reply =
            client
                .send(
                    "GET",
                    "/stats?runs=" + withRuns,
                    "",
                    EMPTY_BODY,
                    STATS_TIMEOUT_MS,
                    STATS_TIMEOUT_MS)
                .toCompletableFuture()
                .join();
        if (reply.status() == 200) {
          totals.add(new ObjectMapper().readTree(reply.body()));
        } else {
          totals.complete = false;
        }
      }
    }
    return totals;
  }

  /** Returns the number of runs by request id. */
  Map<String, Integer> runs() {
    return runs;
  }

  /** Returns whether all minions returned their statistics; false without minions. */
  boolean areComplete() {
    return complete;
  }

  private void add(JsonNode stats) {
    stats
        .path("runs")
        .properties()
        .forEach(run -> runs.merge(run.getKey(), run.getValue().asInt(), Integer::sum));
    started += stats.path("started").asLong();
    maxConcurrent = Math.max(maxConcurrent, stats.path("maxConcurrent").asInt());
    maxConnections = Math.max(maxConnections, stats.path("maxConnections").asInt());
    refusedConnections += stats.path("refusedConnections").asLong();
    lastStartAfterLeavingMs =
        Math.max(lastStartAfterLeavingMs, stats.path("lastStartAfterLeavingMs").asLong(-1));
    stats
        .path("teamMaxConcurrent")
        .properties()
        .forEach(
            team -> teamMaxConcurrent.merge(team.getKey(), team.getValue().asInt(), Math::max));
  }

  /** Writes the totals. */
  void write(ObjectNode summary) {
    ObjectNode node = summary.putObject("minions");
    node.put("complete", complete)
        .put("started", started)
        .put("maxConcurrent", maxConcurrent)
        .put("maxConnections", maxConnections)
        .put("refusedConnections", refusedConnections)
        .put("lastStartAfterLeavingMs", lastStartAfterLeavingMs);
    ObjectNode teams = node.putObject("teamMaxConcurrent");
    teamMaxConcurrent.forEach(teams::put);
  }
}
