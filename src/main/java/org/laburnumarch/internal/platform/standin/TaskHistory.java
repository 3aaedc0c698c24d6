package org.laburnumarch.internal.platform.standin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What workers have shown of the runs of one task. */
final class TaskHistory {
  final Map<String, Long> runsByWorker = new HashMap<>();
  final Set<Long> failedRuns = new HashSet<>();

  /** Number of runs that ended with their worker's process, without an announcement. */
  int crashedRuns;

  /** Runs that ended successfully; a worker that restarts may lose such an end. */
  final Set<Long> successfulRuns = new HashSet<>();

  /** Successful runs after whose end another run started. */
  final Set<Long> supersededRuns = new HashSet<>();

  boolean isDoneAcknowledged;

  /** When the last run ended; negative if none has. */
  long lastEndAtMs = -1;

  boolean isDone() {
    return !successfulRuns.isEmpty();
  }

  boolean isRunning() {
    return !runsByWorker.isEmpty();
  }
}
