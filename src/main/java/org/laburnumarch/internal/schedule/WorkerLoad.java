package org.laburnumarch.internal.schedule;

/**
 * The load of a worker, for decisions about its instance.
 *
 * @param workerId the worker
 * @param service the service whose pool it is in
 * @param isUsable whether tasks may start there, apart from a cordon
 * @param shortRuns number of runs of tasks that end by themselves
 * @param longRunningRuns number of runs of long-running tasks
 * @param reservedFraction reserved fraction of the capacity, by the scarcer of processor and memory
 */
public record WorkerLoad(
    String workerId,
    String service,
    boolean isUsable,
    int shortRuns,
    int longRunningRuns,
    double reservedFraction) {

  /** Returns whether nothing runs there. */
  public boolean isEmpty() {
    return shortRuns == 0 && longRunningRuns == 0;
  }
}
