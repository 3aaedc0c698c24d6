package org.laburnumarch.internal.pacing;

/**
 * Limits the start orders that are in flight to one worker. Load: a worker that is silent or slow,
 * whose unanswered starts must all be stopped and settled by a report.
 */
final class WorkerLimit {

  /** Highest limit; each order in flight uses a connection, which costs processor time to open. */
  private static final int MAX_LIMIT = 8;

  private static final double CUT = 0.5;

  /**
   * Share of the time limit of an order by which a reply may be later than the link's usual reply
   * time before it counts as late, and by which one near the minimum may be later than it.
   */
  private static final double LATE_SHARE = 0.25;

  private static final double NEAR_SHARE = 0.05;

  private final long timeoutMs;
  private final MinimumReplyTime minimum = new MinimumReplyTime();
  private double limit = StartLimits.INITIAL_STARTS_PER_WORKER;
  private int inFlight;
  private long nextCutAtMs;

  WorkerLimit(long timeoutMs) {
    this.timeoutMs = timeoutMs;
  }

  int get() {
    return (int) limit;
  }

  void onSent() {
    inFlight++;
  }

  void onSettled() {
    inFlight--;
  }

  boolean isIdle() {
    return inFlight == 0;
  }

  /**
   * Records a reply, before the order is settled.
   *
   * @param linkReplyMs the usual reply time of all workers, in milliseconds
   */
  void onAnswered(long replyMs, long linkReplyMs, long nowMs) {
    minimum.add(replyMs, nowMs);
    if (replyMs > Math.max(linkReplyMs, minimum.get()) + timeoutMs * LATE_SHARE) {
      cut(nowMs);
    } else if (replyMs <= minimum.get() + timeoutMs * NEAR_SHARE) {
      if (limit < StartLimits.INITIAL_STARTS_PER_WORKER) {
        limit = Math.min(StartLimits.INITIAL_STARTS_PER_WORKER, limit + 1);
      } else if (inFlight >= get()) {
        limit = Math.min(MAX_LIMIT, limit + 1 / limit);
      }
    }
  }

  void onMissing(long nowMs) {
    cut(nowMs);
  }

  /** Starts that were sent together fail together, so only one cut is made in their time limit. */
  private void cut(long nowMs) {
    if (nowMs >= nextCutAtMs) {
      limit = Math.max(1, limit * CUT);
      nextCutAtMs = nowMs + timeoutMs;
    }
  }
}
