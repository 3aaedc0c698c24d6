package org.laburnumarch.internal.pacing;

/**
 * Limits the start orders that are in flight over the owner's whole link, by the gradient of the
 * reply times. Load: an owner on a link of 7 Mbit/s, or with too little processor time, whose
 * backlog is larger than what can be answered within the time limit of an order.
 *
 * <p>The limit doubles in a round trip while replies are near their minimum, rises slowly while
 * they are below the target, and falls in proportion to the reply time above it. It falls to a half
 * when most workers do not reply. It only rises when it is used.
 */
final class LinkLimit {

  /** Reasons for which the limit falls. */
  enum Cut {
    NONE,
    /** Replies are later than the target. */
    DELAY,
    /** Most workers do not reply. */
    MISSING,
    /** Replies have been late for so long that their minimum has to be measured again. */
    PROBE
  }

  /** Limit above which nothing is limited in practice. */
  private static final int MAX_LIMIT = 4_096;

  /** Lowest limit. A link of 1 Mbit/s needs 106 ms to transmit so many starts. */
  private static final int MIN_LIMIT = 8;

  /**
   * Most starts at the beginning. Each costs a small instance about a millisecond of processor
   * time, and the connections to the workers are not open yet.
   */
  private static final int MAX_INITIAL = 256;

  /**
   * Share of the time limit of an order that the link may need at the beginning to transmit all
   * starts in flight.
   */
  private static final double INITIAL_SHARE = 0.125;

  /** Share of the time limit of an order by which replies may be later than their minimum. */
  private static final double TARGET_SHARE = 0.25;

  /** Highest target as a share of the time limit, whatever the minimum. */
  private static final double MAX_TARGET_SHARE = 0.75;

  /** Share of the time limit by which a reply near the minimum may be later than the minimum. */
  private static final double NEAR_SHARE = 0.05;

  private static final double MAX_CUT = 0.5;
  private static final double PROBE_CUT = 0.25;

  /** Share of the limit that must have been in flight for the limit to rise. */
  private static final double USED_SHARE = 0.5;

  /**
   * Fewest workers whose replies say something about the link and not about one worker. A fleet
   * with fewer workers is bounded by the limits of its workers.
   */
  private static final int MIN_WORKERS = 3;

  /** Workers with replies after which no more are awaited; fewer could all be slow ones. */
  private static final int ENOUGH_WORKERS = 16;

  private static final long MIN_WINDOW_MS = 10;
  private static final long MAX_WINDOW_MS = 100;

  private final long timeoutMs;
  private final MinimumReplyTime minimum = new MinimumReplyTime();

  /** Replies of about a round trip, which show the delay. */
  private final ReplyWindow replies = new ReplyWindow();

  /**
   * Outcomes of a whole time limit. Starts to a silent rack fail together, and in a shorter time
   * they may outnumber the workers that replied.
   */
  private final ReplyWindow outcomes = new ReplyWindow();

  private double limit;
  private long delayMs;
  private long repliesEndAtMs;
  private long outcomesEndAtMs;

  /**
   * Creates the limit of a new owner.
   *
   * @param linkBytesPerMs speed of the owner's link in bytes per millisecond
   * @param orderBytes size of a start order on the link in bytes
   * @param timeoutMs time after which an order counts as unanswered, in milliseconds
   */
  LinkLimit(double linkBytesPerMs, double orderBytes, long timeoutMs) {
    this.timeoutMs = timeoutMs;
    double carried = linkBytesPerMs * timeoutMs * INITIAL_SHARE / orderBytes;
    this.limit = Math.max(MIN_LIMIT, Math.min(MAX_INITIAL, carried));
  }

  int get() {
    return (int) limit;
  }

  long delayMs() {
    return delayMs;
  }

  long minimumMs() {
    return minimum.get();
  }

  /** Returns how far replies are from their minimum to the target, from 0 to 1; 0 if near it. */
  double pressure() {
    if (delayMs <= nearMs()) {
      return 0;
    }
    return Math.min(1, (double) (delayMs - minimum.get()) / (targetMs() - minimum.get()));
  }

  private double nearMs() {
    return minimum.get() + timeoutMs * NEAR_SHARE;
  }

  private double targetMs() {
    return Math.max(
        nearMs(), Math.min(minimum.get() + timeoutMs * TARGET_SHARE, timeoutMs * MAX_TARGET_SHARE));
  }

  void onSent(int startsInFlight) {
    replies.onInFlight(startsInFlight);
    outcomes.onInFlight(startsInFlight);
  }

  /** Records a reply; returns why the limit has fallen, if it has. */
  Cut onAnswered(String workerId, long replyMs, int startsInFlight, long nowMs) {
    replies.onAnswered(workerId, replyMs);
    outcomes.onAnswered(workerId, replyMs);
    boolean isMinimumOld = minimum.add(replyMs, nowMs);
    if (isMinimumOld && delayMs > nearMs()) {
      limit = Math.max(MIN_LIMIT, limit * PROBE_CUT);
      endReplies(startsInFlight, nowMs);
      return Cut.PROBE;
    }
    if (replies.peakInFlight() >= limit * USED_SHARE) {
      rise(replyMs);
    }
    boolean isWindowOver =
        nowMs >= repliesEndAtMs + timeoutMs
            || (nowMs >= repliesEndAtMs && replies.workers() >= ENOUGH_WORKERS);
    return isWindowOver ? adjustToDelay(startsInFlight, nowMs) : Cut.NONE;
  }

  /** Records that a start got no reply in time; returns why the limit has fallen, if it has. */
  Cut onMissing(String workerId, int startsInFlight, long nowMs) {
    outcomes.onMissing(workerId);
    if (nowMs < outcomesEndAtMs) {
      return Cut.NONE;
    }
    Cut cut = Cut.NONE;
    if (outcomes.workers() >= MIN_WORKERS && outcomes.isMostlyMissing()) {
      cut = Cut.MISSING;
      cutTo(MAX_CUT, outcomes.peakInFlight());
    }
    outcomesEndAtMs = nowMs + timeoutMs;
    outcomes.clear(startsInFlight);
    return cut;
  }

  private void rise(long replyMs) {
    if (Math.max(replyMs, delayMs) <= nearMs()) {
      limit += 1;
    } else if (replyMs <= targetMs()) {
      // Adds the square root of the limit in a round trip.
      limit += 1 / Math.sqrt(limit);
    }
    limit = Math.min(MAX_LIMIT, limit);
  }

  private Cut adjustToDelay(int startsInFlight, long nowMs) {
    Cut cut = Cut.NONE;
    if (replies.workers() >= MIN_WORKERS) {
      delayMs = replies.lowerQuartileMs();
      if (delayMs > targetMs()) {
        cut = Cut.DELAY;
        cutTo(Math.max(MAX_CUT, targetMs() / delayMs), replies.peakInFlight());
      }
    }
    endReplies(startsInFlight, nowMs);
    return cut;
  }

  /** Cuts what was in use: a limit far above it would need several cuts to take effect. */
  private void cutTo(double fraction, int peakInFlight) {
    limit = Math.max(MIN_LIMIT, Math.min(limit, peakInFlight) * fraction);
  }

  private void endReplies(int startsInFlight, long nowMs) {
    repliesEndAtMs = nowMs + Math.max(MIN_WINDOW_MS, Math.min(MAX_WINDOW_MS, delayMs));
    replies.clear(startsInFlight);
  }
}
