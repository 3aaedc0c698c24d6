package org.laburnumarch.internal.schedule;

import java.util.List;

/**
 * A question to the advisory service.
 *
 * @param stepName the step
 * @param workerIds the workers that it might run on
 * @param timeoutMs how long the answer may take
 */
public record AdviceQuery(String stepName, List<String> workerIds, long timeoutMs) {

  /** Copies the list. */
  public AdviceQuery {
    workerIds = List.copyOf(workerIds);
  }
}
