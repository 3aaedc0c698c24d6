package org.laburnumarch.internal.schedule;

import java.util.Map;
import java.util.Set;
import org.laburnumarch.internal.job.TaskKey;

/**
 * What an owner that has stopped sending orders knew of its runs. A task that is not named does not
 * run anywhere, whichever workers its successor cannot reach.
 *
 * <p>Times are relative to the end of the ownership, since the clocks of daemons differ. A
 * successor counts them from when it reads them, which is later.
 *
 * @param term the owner's term
 * @param workersByTask for each task that may be running, or whose end may be listed only by its
 *     worker, the ids of the workers that may have it
 * @param absences for some of these tasks, those of the workers whose one report to this owner,
 *     which listed all ends, had neither the task nor its end; the next report that lacks both
 *     proves that the task does not run there
 * @param leasesLeftMs time after which no lease of a worker can be valid any more, by the id of the
 *     worker, in milliseconds
 * @param earlierOrdersLeftMs time for which still earlier owners may send orders, in milliseconds
 */
public record RunLocations(
    long term,
    Map<TaskKey, Set<String>> workersByTask,
    Map<TaskKey, Set<Incarnation>> absences,
    Map<String, Long> leasesLeftMs,
    long earlierOrdersLeftMs) {

  /**
   * A process of a worker.
   *
   * @param workerId the worker's id
   * @param startedEpochMs when the process began, by its own clock, in Unix milliseconds
   */
  public record Incarnation(String workerId, long startedEpochMs) {}

  /** Copies the maps. */
  public RunLocations {
    workersByTask = Map.copyOf(workersByTask);
    absences = Map.copyOf(absences);
    leasesLeftMs = Map.copyOf(leasesLeftMs);
  }

  /** Returns the same locations as of a later owner, which has sent no orders. */
  public RunLocations withTerm(long laterTerm) {
    return new RunLocations(laterTerm, workersByTask, absences, leasesLeftMs, earlierOrdersLeftMs);
  }
}
