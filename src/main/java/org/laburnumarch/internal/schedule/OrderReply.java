package org.laburnumarch.internal.schedule;

/**
 * A worker's reply to an order.
 *
 * @param outcome the outcome of the order
 * @param workerClockMs the worker's steady clock when it replied; -1 if the reply has none
 * @param connectedAtMs local time by which the connection was made over which the order was sent;
 *     {@link Long#MAX_VALUE} if that is not known
 */
public record OrderReply(Outcome outcome, long workerClockMs, long connectedAtMs) {

  /** Creates a reply over a connection of unknown age. */
  public OrderReply(Outcome outcome, long workerClockMs) {
    this(outcome, workerClockMs, Long.MAX_VALUE);
  }

  /** Returns the same reply over a connection that was made by a local time. */
  public OrderReply withConnectedAtMs(long newConnectedAtMs) {
    return new OrderReply(outcome, workerClockMs, newConnectedAtMs);
  }

  /** Outcome of an order. */
  public enum Outcome {
    /** The order has been executed. */
    OBEYED,
    /** The worker has seen a higher fencing token, so another daemon is the owner now. */
    FENCED,
    /** The worker knows a later run of the task, or this run has been stopped or has ended. */
    OUTDATED,
    /** The order's deadline has passed. */
    LATE,
    /** The task does not fit into the worker's free capacity. */
    NO_ROOM,
    /** The ticket is missing or not valid. */
    TICKET,
    /** The worker is unhealthy; nothing has been done. */
    UNHEALTHY,
    /** The worker could not parse the order. */
    REJECTED,
    /** A worker with another id responded; nothing has been done. */
    OTHER_INCARNATION,
    /** No connection was made; nothing has been done. */
    UNREACHABLE,
    /** No reply came; the worker may still execute the order at any later time. */
    UNKNOWN
  }
}
