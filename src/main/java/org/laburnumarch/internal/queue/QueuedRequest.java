package org.laburnumarch.internal.queue;

/**
 * A queued or dispatched request, with the slot time charged for it at dispatch.
 *
 * @param <T> type of the queued item
 */
public final class QueuedRequest<T> {
  private final T item;
  private final String team;
  private final long deadlineMs;
  private final long queuedAtMs;
  private long chargedMs;

  QueuedRequest(T item, String team, long deadlineMs, long queuedAtMs) {
    this.item = item;
    this.team = team;
    this.deadlineMs = deadlineMs;
    this.queuedAtMs = queuedAtMs;
  }

  /** Returns the queued item. */
  public T item() {
    return item;
  }

  /** Returns the name of the team that is charged. */
  public String team() {
    return team;
  }

  /** Returns the time by which the response is due, in milliseconds. */
  public long deadlineMs() {
    return deadlineMs;
  }

  /** Returns the time at which the request was queued, in milliseconds. */
  public long queuedAtMs() {
    return queuedAtMs;
  }

  long chargedMs() {
    return chargedMs;
  }

  void recordCharge(long slotMs) {
    chargedMs = slotMs;
  }
}
