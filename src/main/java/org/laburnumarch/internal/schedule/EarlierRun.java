package org.laburnumarch.internal.schedule;

import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Where a run of a task may be going on that an earlier owner started and no report has shown yet.
 *
 * @param isAnywhere whether any worker of the pool may have it
 * @param workerIds the workers that may have it otherwise
 */
record EarlierRun(boolean isAnywhere, Set<String> workerIds) {

  /** No such run. */
  static final EarlierRun NONE = new EarlierRun(false, Set.of());

  /** A run that may be on any worker of the pool. */
  static final EarlierRun ANYWHERE = new EarlierRun(true, Set.of());

  /** Returns a run that may be on one of some workers. */
  static EarlierRun on(Set<String> workerIds) {
    return new EarlierRun(false, Set.copyOf(workerIds));
  }

  /**
   * Returns the known workers that may have the run.
   *
   * @param service the service whose pool has it; empty if that is unknown
   */
  Stream<Worker> possibleWorkers(WorkerTable workers, String service) {
    return isAnywhere
        ? workers.poolOrAll(service).stream()
        : workerIds.stream().map(workers::find).filter(Objects::nonNull);
  }
}
