package org.laburnumarch.internal.lead;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides for the owner whether to offer the ownership to another daemon, and to which one. Meant
 * for an owner on a small instance whose link or processor cannot carry the orders of the fleet
 * while larger instances are there, and for an owner that stops. One instance serves one ownership.
 * Not thread-safe.
 *
 * <p>A move costs the fleet {@link #MOVE_COST_MS} without starts. The owner adds up the time that
 * it loses to its own limits, and offers the ownership when the loss exceeds the cost of a move, so
 * that it never costs more than twice of what the best decision in hindsight would have cost.
 * Without late replies there is no loss, and nothing happens.
 *
 * <p>The ownership does not oscillate: a limited owner offers it only to an instance with at least
 * {@link #MIN_GAIN} times its own amount of the resource that limits it, and {@link #MIN_OTHER}
 * times of the other one. The product of both grows with each move, so no chain of moves returns.
 */
public final class HandoverPolicy {

  /** Why the ownership is offered. */
  public enum Reason {
    /** The replies of workers are late, or missing, while this daemon's timers are on time. */
    LINK,
    /** This daemon's timers are late. */
    PROCESSOR,
    /** This daemon is stopping. */
    STOPPING
  }

  /**
   * An offer.
   *
   * @param successor name of the process that is to own the fleet
   * @param reason why it is offered
   */
  public record Offer(String successor, Reason reason) {}

  /** Time for which an offer waits for its acceptance; then the owner continues. */
  public static final long OFFER_TIMEOUT_MS = 400;

  /**
   * Time without starts that a move costs: up to 300 ms until the first start, and about as long
   * again until the workers of the fleet have reported to the new owner, with a margin of the same
   * size.
   */
  static final long MOVE_COST_MS = 1_000;

  /** Factor by which the successor must exceed a limited owner in the resource that limits it. */
  static final double MIN_GAIN = 2;

  /** Least amount of the successor's other resource, relative to the owner's. */
  static final double MIN_OTHER = 0.75;

  /**
   * Time after a takeover during which nothing is counted: the first connection to each worker and
   * the first reports make replies late on every instance.
   */
  static final long SETTLING_MS = 2_000;

  /** Time for which a state counts as current; daemons report once a second. */
  public static final long MAX_STATE_AGE_MS = 1_500;

  /** Time for which a daemon that has not accepted is not asked again. */
  static final long REFUSED_FOR_MS = 10_000;

  /** Fewest orders in a second from which its mean is taken. */
  private static final int MIN_ORDERS = 10;

  /** Time limit of an order at a worker. */
  private static final long ORDER_TIMEOUT_MS = 400;

  /**
   * Mean time of replies that counts as near the minimum in any case: a tenth of the time limit.
   */
  private static final long SHORT_REPLY_MS = ORDER_TIMEOUT_MS / 10;

  /**
   * Mean time of replies that counts as late in any case: a quarter of the time limit. An owner
   * that was limited from its first second on has never seen the true minimum.
   */
  private static final long LATE_REPLY_MS = ORDER_TIMEOUT_MS / 4;

  /** Replies near their minimum take up to this many times as long. */
  private static final long REPLY_FACTOR = 3;

  /** Delay of a timer that counts as late; two rounds of the owner. */
  private static final long LATE_TIMER_MS = 100;

  /** Part of the largest candidate's resources that suffices to be preferred for other reasons. */
  private static final double NEARLY_LARGEST = 0.75;

  private record Reported(DaemonState state, long atMs) {}

  private final InstanceSize ownSize;
  private final long ownedSinceMs;
  private final Map<String, Reported> states = new HashMap<>();
  private final Map<String, Long> refusedAtMs = new HashMap<>();
  private long minReplyMs = Long.MAX_VALUE;
  private double linkLossMs;
  private double processorLossMs;
  private boolean isStopping;

  /**
   * Creates the policy of one ownership.
   *
   * @param ownSize the size of the owner's instance
   * @param ownedSinceMs local time at which the ownership was gained
   */
  public HandoverPolicy(InstanceSize ownSize, long ownedSinceMs) {
    this.ownSize = ownSize;
    this.ownedSinceMs = ownedSinceMs;
  }

  /** Records what the owner measured during the last second. */
  public void onSample(LoadSample sample, long nowMs) {
    if (nowMs - ownedSinceMs < SETTLING_MS) {
      return;
    }
    int orders = sample.replies() + sample.unanswered();
    boolean isTimerLate = sample.maxTimerDelayMs() > LATE_TIMER_MS;
    processorLossMs =
        isTimerLate
            ? bounded(processorLossMs + Math.min(1_000, sample.maxTimerDelayMs() - LATE_TIMER_MS))
            : processorLossMs / 2;
    if (orders < MIN_ORDERS) {
      linkLossMs /= 2;
      return;
    }
    long limitMs = lateLimitMs();
    // Workers that do not respond leave orders unanswered without making other replies late.
    boolean isLate =
        sample.replies() == 0 || sample.meanReplyMs() > limitMs || sample.heldShare() > 0;
    if (sample.replies() >= MIN_ORDERS) {
      minReplyMs = Math.min(minReplyMs, sample.meanReplyMs());
    }
    linkLossMs =
        isLate && !isTimerLate
            ? bounded(linkLossMs + lossMs(sample, orders, limitMs))
            : linkLossMs / 2;
  }

  /** Bounds a loss, so that it is forgotten soon after the owner is no longer limited. */
  private static double bounded(double lossMs) {
    return Math.min(2 * MOVE_COST_MS, lossMs);
  }

  private long lateLimitMs() {
    long nearMinimumMs = minReplyMs == Long.MAX_VALUE ? SHORT_REPLY_MS : REPLY_FACTOR * minReplyMs;
    return Math.min(LATE_REPLY_MS, Math.max(SHORT_REPLY_MS, nearMinimumMs));
  }

  /**
   * Returns how much of a second was lost: orders without an answer, and the delay of the others.
   */
  private static double lossMs(LoadSample sample, int orders, long limitMs) {
    double unanswered = (double) sample.unanswered() / orders;
    double delay = Math.max(0, sample.meanReplyMs() - limitMs) / (double) ORDER_TIMEOUT_MS;
    return 1_000 * Math.min(1, Math.max(sample.heldShare(), unanswered + delay));
  }

  /** Records the state that another daemon has reported. */
  public void onState(DaemonState state, long nowMs) {
    states.put(state.holder(), new Reported(state, nowMs));
  }

  /** Records that a daemon has not accepted an offer. */
  public void onNotAccepted(String holder, long nowMs) {
    refusedAtMs.put(holder, nowMs);
  }

  /** Records that this daemon is stopping. */
  public void onStopping() {
    isStopping = true;
  }

  /** Returns whether the other daemons should report their states, since an offer may follow. */
  public boolean isSeeking() {
    return isStopping || lossMs() >= MOVE_COST_MS / 4.0;
  }

  /** Returns the time that this owner has lost to the limits of its instance, in milliseconds. */
  public double lossMs() {
    return Math.max(linkLossMs, processorLossMs);
  }

  /** Returns the offer to make now, if any. */
  public Optional<Offer> decide(long nowMs) {
    states.values().removeIf(reported -> nowMs - reported.atMs() > MAX_STATE_AGE_MS);
    refusedAtMs.values().removeIf(atMs -> nowMs - atMs > REFUSED_FOR_MS);
    if (isStopping) {
      return best(size -> true).map(holder -> new Offer(holder, Reason.STOPPING));
    }
    if (lossMs() < MOVE_COST_MS) {
      return Optional.empty();
    }
    boolean isLink = linkLossMs >= processorLossMs;
    Reason reason = isLink ? Reason.LINK : Reason.PROCESSOR;
    double minCores = ownSize.cores() * (isLink ? MIN_OTHER : MIN_GAIN);
    double minMbps = ownSize.linkMbps() * (isLink ? MIN_GAIN : MIN_OTHER);
    return best(size -> size.cores() >= minCores && size.linkMbps() >= minMbps)
        .map(holder -> new Offer(holder, reason));
  }

  /**
   * Returns the largest daemon that can own the fleet. Among nearly equal ones it is the one that
   * started last: in a rolling restart, the others are still to be stopped.
   */
  private Optional<String> best(Predicate<InstanceSize> isSufficient) {
    List<DaemonState> able =
        states.values().stream()
            .map(Reported::state)
            .filter(DaemonState::canOwn)
            .filter(state -> !refusedAtMs.containsKey(state.holder()))
            .filter(state -> isSufficient.test(state.size()))
            .toList();
    List<InstanceSize> sizes = able.stream().map(DaemonState::size).toList();
    double largest =
        able.stream().mapToDouble(state -> state.size().shareOf(sizes)).max().orElse(0);
    return able.stream()
        .filter(state -> state.size().shareOf(sizes) >= NEARLY_LARGEST * largest)
        .min(Comparator.comparingLong(DaemonState::uptimeMs).thenComparing(DaemonState::holder))
        .map(DaemonState::holder);
  }
}
