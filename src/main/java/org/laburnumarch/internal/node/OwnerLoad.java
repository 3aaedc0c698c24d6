package org.laburnumarch.internal.node;

import java.util.Locale;
import java.util.Optional;
import org.laburnumarch.internal.lead.LoadSample;

/**
 * Measures what limits the owner, for one line of the log a second. An owner without enough
 * processor time runs its timers late; one without enough network gets late replies, or none, while
 * its timers are on time. Not thread-safe; no I/O.
 */
final class OwnerLoad {

  private static final long REPORT_EVERY_MS = 1_000;

  /** The parts of a scheduling round, each of which keeps the event loop from all else. */
  enum RoundPart {
    INSTANCES,
    DECISIONS,
    ORDERS,
    RENEWALS,
    STORE;

    private String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private long reportAtMs;
  private int rounds;
  private int heldRounds;
  private long maxTimerDelayMs;
  private RoundPart longestPart = RoundPart.DECISIONS;
  private long longestPartMs;
  private int replies;
  private long replyTimeSumMs;
  private int unanswered;
  private Optional<LoadSample> sample = Optional.empty();

  OwnerLoad(long nowMs) {
    this.reportAtMs = nowMs + REPORT_EVERY_MS;
  }

  /** Records a scheduling round. */
  void onRound() {
    rounds++;
  }

  /** Records that starts were held back in the last round because the link takes no more. */
  void onStartsHeld() {
    heldRounds++;
  }

  /** Records by how much a timer ran late. */
  void onTimer(long delayMs) {
    maxTimerDelayMs = Math.max(maxTimerDelayMs, delayMs);
  }

  /** Records how long a part of a round has kept the event loop. */
  void onPart(RoundPart part, long durationMs) {
    if (durationMs > longestPartMs) {
      longestPart = part;
      longestPartMs = durationMs;
    }
  }

  /** Records the reply to an order to a worker, or that there was none in time. */
  void onReply(long afterMs, boolean isAnswered) {
    if (isAnswered) {
      replies++;
      replyTimeSumMs += afterMs;
    } else {
      unanswered++;
    }
  }

  /** Returns the measurements since the last report, once a second; empty in between. */
  Optional<String> report(long nowMs, int liveJobs) {
    if (nowMs < reportAtMs) {
      return Optional.empty();
    }
    String line =
        String.format(
            Locale.ROOT,
            "live_jobs=%d rounds=%d max_timer_delay_ms=%d longest_part=%s longest_part_ms=%d"
                + " replies=%d mean_reply_ms=%d unanswered=%d",
            liveJobs,
            rounds,
            maxTimerDelayMs,
            longestPart.label(),
            longestPartMs,
            replies,
            replies == 0 ? 0 : replyTimeSumMs / replies,
            unanswered);
    sample =
        Optional.of(
            new LoadSample(
                replies,
                replies == 0 ? 0 : replyTimeSumMs / replies,
                unanswered,
                maxTimerDelayMs,
                Math.min(1, heldRounds / Math.max(1.0, rounds))));
    reportAtMs = nowMs + REPORT_EVERY_MS;
    rounds = 0;
    heldRounds = 0;
    maxTimerDelayMs = 0;
    longestPartMs = 0;
    replies = 0;
    replyTimeSumMs = 0;
    unanswered = 0;
    return Optional.of(line);
  }

  /** Returns the measurements of the last report, once. */
  Optional<LoadSample> takeSample() {
    Optional<LoadSample> taken = sample;
    sample = Optional.empty();
    return taken;
  }
}
