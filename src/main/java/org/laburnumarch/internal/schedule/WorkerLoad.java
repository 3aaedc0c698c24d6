package org.laburnumarch.internal.schedule;

/**
 * What runs on a worker, for decisions on its instance.
 *
 * @param workerId the worker
 * @param service the service whose pool it is in
 * @param isUsable whether tasks may start there, a cordon aside
 * @param shortRuns runs of tasks that end by themselves
 * @param lastingRuns runs of tasks that last
 * @param usedShare part of the capacity that is reserved
 */
public record WorkerLoad(
    String workerId,
    String service,
    boolean isUsable,
    int shortRuns,
    int lastingRuns,
    double usedShare) {

  /** Returns whether nothing runs there. */
  public boolean isEmpty() {
    return shortRuns == 0 && lastingRuns == 0;
  }
}
