package org.laburnumarch.internal.emulator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts the runs and refusals of one minion. */
final class RunCounters {

  private final Map<String, Integer> runsById = new HashMap<>();
  private final Map<String, Long> runsByTeam = new TreeMap<>();
  private long started;
  private int running;
  private int maxRunning;
  private long refusedLate;
  private long refusedOrdered;
  private long leavingSinceMs = -1;
  private long lastStartAfterLeavingMs = -1;

  /** Counts the start of a run. */
  synchronized void start(String requestId, String team, long nowMs) {
    runsById.merge(requestId, 1, Integer::sum);
    runsByTeam.merge(team, 1L, Long::sum);
    started++;
    running++;
    maxRunning = Math.max(maxRunning, running);
    if (leavingSinceMs >= 0) {
      lastStartAfterLeavingMs = nowMs - leavingSinceMs;
    }
  }

  /** Counts the end of a run. */
  synchronized void end() {
    running--;
  }

  /** Counts a request refused because its deadline had passed. */
  synchronized void countLateRefusal() {
    refusedLate++;
  }

  /** Counts a request refused because a control request told the minion to refuse. */
  synchronized void countOrderedRefusal() {
    refusedOrdered++;
  }

  /** Sets whether the minion is leaving, and since when. */
  synchronized void setLeaving(boolean leaving, long nowMs) {
    if (!leaving) {
      leavingSinceMs = -1;
    } else if (leavingSinceMs < 0) {
      leavingSinceMs = nowMs;
    }
  }

  /** Returns whether the minion is leaving. */
  synchronized boolean isLeaving() {
    return leavingSinceMs >= 0;
  }

  /** Writes the counts. */
  synchronized void write(ObjectNode body, boolean withRuns) {
    body.put("maxConcurrent", maxRunning)
        .put("running", running)
        .put("started", started)
        .put("refusedLate", refusedLate)
        .put("refusedOrdered", refusedOrdered)
        .put("leaving", leavingSinceMs >= 0)
        .put("lastStartAfterLeavingMs", lastStartAfterLeavingMs);
    ObjectNode teams = body.putObject("teams");
    runsByTeam.forEach(teams::put);
    if (withRuns) {
      ObjectNode runs = body.putObject("runs");
      runsById.forEach(runs::put);
    }
  }
}
