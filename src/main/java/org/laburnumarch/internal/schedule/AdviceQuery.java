package org.laburnumarch.internal.schedule;

import java.util.List;

/**
 * A request to the advisory service, which of the given workers may run a step.
 *
 * @param stepName the step's name, as in {@link Step#wireName}
 * @param workerIds the workers that it might run on
 * @param timeoutMs time after which the request is given up, in milliseconds
 */
public record AdviceQuery(String stepName, List<String> workerIds, long timeoutMs) {

  /** Copies the list. */
  public AdviceQuery {
    workerIds = List.copyOf(workerIds);
  }
}
