package org.laburnumarch.internal.schedule;

import java.util.Collection;
import java.util.Set;

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

  /** Returns the workers that have not reported and may have the run. */
  Collection<Worker> unreportedWorkers(WorkerTable workers, String service) {
    if (isAnywhere) {
      return workers.unreported(service);
    }
    return workerIds.stream().map(workers::find).filter(WorkerTable::isUnreported).toList();
  }
}
