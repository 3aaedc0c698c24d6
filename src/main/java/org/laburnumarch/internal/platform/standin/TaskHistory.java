package org.laburnumarch.internal.platform.standin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What workers have shown of the runs of one task. */
final class TaskHistory {

  /** Identifies a run on one process of a worker. */
  private record RunKey(String worker, long startedAtMs, long run) {}

  private final Map<RunKey, ObservedRun> runs = new HashMap<>();
  final Set<ObservedRun> running = new LinkedHashSet<>();
  final Set<Long> failedRuns = new HashSet<>();

  /** Number of runs that ended with their worker's process, without an announcement. */
  int crashedRuns;

  /** When the last run ended; negative if none has. */
  long lastEndAtMs = -1;

  ObservedRun run(SimulatedWorker worker, String task, long run) {
    return runs.computeIfAbsent(
        new RunKey(worker.id(), worker.startedAtMs(), run),
        key -> new ObservedRun(worker, task, run));
  }

  /** Records the start of a run after those that have ended successfully. */
  void supersede(ObservedRun later) {
    runs.values().stream()
        .filter(ObservedRun::isSuccessful)
        .forEach(earlier -> earlier.supersede(later));
  }

  /** Returns a run whose successful end was acknowledged. */
  Optional<ObservedRun> acknowledgedSuccess() {
    return runs.values().stream().filter(ObservedRun::isSuccessAcknowledged).findFirst();
  }

  boolean isDone() {
    return runs.values().stream().anyMatch(ObservedRun::isSuccessful);
  }

  boolean isRunning() {
    return !running.isEmpty();
  }
}
