package org.laburnumarch.spi;

import java.util.List;

/**
 * An order of an owner to a worker.
 *
 * <p>A worker refuses an order with a lower token than it has seen. It executes starts and renewals
 * only if {@code incarnation} is its own and {@code leaseUntilWorkerMs} is in the future by its own
 * clock, so that a delayed order cannot start anything. It remembers attempts that ended or were
 * stopped until no valid order can refer to them.
 *
 * @param fencingOffset the owner's fencing token
 * @param incarnation incarnation in the report that the order is based on; empty if there was no
 *     report
 * @param leaseUntilWorkerMs when the worker ends an attempt whose lease is not renewed again, by
 *     the worker's clock
 * @param startUntilWorkerMs when the owner's authority to start attempts ends, by the worker's
 *     clock; the worker executes no start from then on
 * @param stops attempts to end or to prevent from starting; the worker reports them as ended
 * @param checkpoints attempts that are to save their state and end
 * @param memoryLimits attempts that may not allocate more memory than they use now
 * @param acknowledgedEnds ended attempts that are recorded and need no longer be reported
 */
public record WorkerOrder(
    long fencingOffset,
    String incarnation,
    long leaseUntilWorkerMs,
    long startUntilWorkerMs,
    List<StartOrder> starts,
    List<AttemptId> renewals,
    List<AttemptId> stops,
    List<AttemptId> checkpoints,
    List<AttemptId> memoryLimits,
    List<AttemptId> acknowledgedEnds) {

  public WorkerOrder {
    starts = List.copyOf(starts);
    renewals = List.copyOf(renewals);
    stops = List.copyOf(stops);
    checkpoints = List.copyOf(checkpoints);
    memoryLimits = List.copyOf(memoryLimits);
    acknowledgedEnds = List.copyOf(acknowledgedEnds);
  }

  /** Returns an order that only requests a report. */
  public static WorkerOrder reportRequest(long fencingOffset) {
    return new WorkerOrder(
        fencingOffset, "", 0, 0, List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
  }

  /** Starts an attempt; {@code job} describes to the worker what to run. */
  public record StartOrder(AttemptId id, String team, String job) {}
}
