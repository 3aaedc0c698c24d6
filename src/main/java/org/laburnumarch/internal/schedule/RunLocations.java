package org.laburnumarch.internal.schedule;

import java.util.Map;
import java.util.Set;
import org.laburnumarch.internal.job.TaskKey;

/**
 * What an owner that has stopped sending orders knew of its runs. A task that is not named does not
 * run anywhere, whichever workers its successor cannot reach.
 *
 * @param term the owner's term
 * @param workersByTask for each task that may be running, or whose end may be listed only by its
 *     worker, the ids of the workers that may have it
 * @param unresolvedUntilEpochMs when no run of a still earlier owner that the owner has not found
 *     can be going on, in Unix milliseconds; 0 if there is none
 */
public record RunLocations(
    long term, Map<TaskKey, Set<String>> workersByTask, long unresolvedUntilEpochMs) {

  /** Copies the map. */
  public RunLocations {
    workersByTask = Map.copyOf(workersByTask);
  }
}
