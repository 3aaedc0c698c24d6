package org.laburnumarch.internal.schedule;

/**
 * A worker's answer to an order.
 *
 * @param outcome what became of the order
 * @param workerClockMs the worker's steady clock when it answered; -1 if it did not say
 */
public record OrderReply(Outcome outcome, long workerClockMs) {

  /** What became of an order. */
  public enum Outcome {
    /** The order has been obeyed. */
    OBEYED,
    /** A daemon with a higher fencing token gives orders now. */
    FENCED,
    /** A later run of the task is known, or this run has been stopped or has ended. */
    OUTDATED,
    /** The order's deadline has passed. */
    LATE,
    /** The task does not fit. */
    NO_ROOM,
    /** The ticket is missing or not valid. */
    TICKET,
    /** The worker is unhealthy; nothing has been done. */
    UNHEALTHY,
    /** The worker cannot read the order. */
    REJECTED,
    /** Another incarnation of the worker answered. */
    OTHER_INCARNATION,
    /** No connection was made; nothing has been done. */
    UNREACHABLE,
    /** No answer came; the order may be obeyed at any later time. */
    UNKNOWN
  }
}
