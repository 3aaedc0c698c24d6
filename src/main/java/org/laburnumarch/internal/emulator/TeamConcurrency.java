package org.laburnumarch.internal.emulator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/** Tracks the concurrent runs of each team over all minions of one process. */
final class TeamConcurrency {

  private final Map<String, Integer> running = new TreeMap<>();
  private final Map<String, Integer> maxRunning = new TreeMap<>();

  /** Counts the start of a run. */
  synchronized void start(String team) {
    maxRunning.merge(team, running.merge(team, 1, Integer::sum), Math::max);
  }

  /** Counts the end of a run. */
  synchronized void end(String team) {
    running.merge(team, -1, Integer::sum);
  }

  /** Writes the maximum number of concurrent runs per team. */
  synchronized void write(ObjectNode body) {
    ObjectNode teams = body.putObject("teamMaxConcurrent");
    maxRunning.forEach(teams::put);
  }
}
