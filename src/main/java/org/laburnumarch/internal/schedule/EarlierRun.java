package org.laburnumarch.internal.schedule;

import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.laburnumarch.internal.schedule.RunLocations.Incarnation;

/**
 * Where a run of a task may be going on that an earlier owner started and no report has shown yet.
 *
 * @param isAnywhere whether any worker of the job's pools may have it
 * @param workerIds the workers that may have it otherwise
 * @param absences processes of these workers of which one complete report to an earlier owner has
 *     lacked the run
 */
record EarlierRun(boolean isAnywhere, Set<String> workerIds, Set<Incarnation> absences) {

  /** No such run. */
  static final EarlierRun NONE = new EarlierRun(false, Set.of(), Set.of());

  /** A run that may be on any worker of the job's pools. */
  static final EarlierRun ANYWHERE = new EarlierRun(true, Set.of(), Set.of());

  /**
   * Returns a run that may be on one of some workers.
   *
   * @param absences the processes of which one complete report has lacked it
   */
  static EarlierRun on(Set<String> workerIds, Set<Incarnation> absences) {
    return new EarlierRun(false, Set.copyOf(workerIds), Set.copyOf(absences));
  }

  /**
   * Returns whether a worker has shown that it does not have the run: the reports to two owners
   * count like two reports to one, because the worker was the same process all the while.
   */
  boolean isAbsentAt(Worker worker) {
    return worker.hasListedAllEnds && absences.contains(worker.incarnation());
  }

  /** Returns the processes of a worker of which one complete report has lacked the run. */
  Set<Incarnation> absencesAt(Worker worker) {
    return worker.hasListedAllEnds && worker.startedEpochMs != 0
        ? Set.of(worker.incarnation())
        : absences.stream()
            .filter(absence -> absence.workerId().equals(worker.id))
            .collect(Collectors.toSet());
  }

  /**
   * Returns the known workers that may have the run.
   *
   * @param services the services of which a pool has it; empty if that is unknown
   */
  Stream<Worker> possibleWorkers(WorkerTable workers, Set<String> services) {
    return isAnywhere
        ? workers.poolsOrAll(services)
        : workerIds.stream().map(workers::find).filter(Objects::nonNull);
  }
}
