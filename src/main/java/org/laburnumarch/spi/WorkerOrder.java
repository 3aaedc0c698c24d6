package org.laburnumarch.spi;

import java.util.List;

/**
 * What an owner wants of a worker.
 *
 * <p>A worker refuses an order with a lower token than it has seen. It obeys starts and renewals
 * only if {@code incarnation} is its own and {@code leaseUntilWorkerMs} is still to come by its own
 * clock, so that an order that was held up anywhere cannot start anything later. It remembers
 * attempts that ended or were stopped until no valid order can name them.
 *
 * @param fencingOffset token of the owner
 * @param incarnation incarnation of the report that the order is based on; empty without one
 * @param leaseUntilWorkerMs when the worker ends an attempt that is not renewed again, by its clock
 * @param startUntilWorkerMs when the authority of the owner to start anything ends, by the clock of
 *     the worker; no start is obeyed from then on
 * @param stops attempts to end, or never to begin; the worker reports them as ended
 * @param checkpoints attempts that save their state and end
 * @param throttles attempts that may use no more memory than they have
 * @param forgets ended attempts that are recorded and need not be reported any more
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
    List<AttemptId> throttles,
    List<AttemptId> forgets) {

  public WorkerOrder {
    starts = List.copyOf(starts);
    renewals = List.copyOf(renewals);
    stops = List.copyOf(stops);
    checkpoints = List.copyOf(checkpoints);
    throttles = List.copyOf(throttles);
    forgets = List.copyOf(forgets);
  }

  /** Returns an order that only asks for a report. */
  public static WorkerOrder poll(long fencingOffset) {
    return new WorkerOrder(
        fencingOffset, "", 0, 0, List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
  }

  /** Starts an attempt; {@code job} tells the worker what to run. */
  public record StartOrder(AttemptId id, String team, String job) {}
}
