package org.laburnumarch.internal.pacing;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Sets how many start orders may be in flight over the owner's link and to each worker, from the
 * reply times and missing replies of earlier starts. Load: an owner whose link or processor cannot
 * carry the starts that its workers have capacity for; without a limit they wait in the link until
 * their replies are too late, and must all be stopped again. Not thread-safe; no I/O.
 */
public final class OrderPacer implements StartLimits {

  /**
   * Mean size of a start on the link: 1,200 bytes of program and 500 bytes of headers. It only
   * determines the initial limit.
   */
  private static final double START_BYTES = 1_700;

  private static final double BYTES_PER_MS_PER_MBPS = 125;

  /** Time without replies after which the last reply times say nothing about the link any more. */
  private static final long PRESSURE_VALID_MS = 1_000;

  /**
   * Share of the time limit of an order by which a later one must have been sent to overtake it.
   */
  private static final double OVERTAKEN_SHARE = 0.25;

  private static final long LOG_INTERVAL_MS = 1_000;

  private final long timeoutMs;
  private final LinkLimit link;
  private final LinkOccupancy occupancy;
  private final Map<String, WorkerLimit> workers = new HashMap<>();
  private int inFlight;
  private long lastReplyAtMs;
  private boolean isHeld;
  private long logAtMs;
  private int cuts;
  private int roundsHeld;
  private LinkLimit.Cut lastCut = LinkLimit.Cut.NONE;

  /**
   * Creates the pacer of a new owner.
   *
   * @param linkMbps speed of the owner's link in Mbit/s
   * @param timeoutMs time after which an order counts as unanswered, in milliseconds
   */
  public OrderPacer(double linkMbps, long timeoutMs) {
    this.timeoutMs = timeoutMs;
    this.occupancy = new LinkOccupancy((long) (timeoutMs * OVERTAKEN_SHARE));
    this.link = new LinkLimit(linkMbps * BYTES_PER_MS_PER_MBPS, START_BYTES, timeoutMs);
  }

  @Override
  public int startsAllowed(long nowMs) {
    // Starts that settle under another time than they were sent must not occupy the link for ever.
    return Math.max(0, link.get() - Math.min(occupancy.count(), inFlight));
  }

  @Override
  public int startLimit() {
    return link.get();
  }

  @Override
  public int startsInFlightAllowed(String workerId) {
    WorkerLimit worker = workers.get(workerId);
    return worker == null ? INITIAL_STARTS_PER_WORKER : worker.get();
  }

  /** Returns the number of starts in flight over the whole link. */
  public int startsInFlight() {
    return inFlight;
  }

  @Override
  public long reportIntervalMs(long leastMs, long mostMs, long nowMs) {
    double pressure = nowMs - lastReplyAtMs > PRESSURE_VALID_MS ? 0 : link.pressure();
    return leastMs + Math.round(pressure * (mostMs - leastMs));
  }

  @Override
  public void onStartsHeld() {
    roundsHeld++;
    isHeld = true;
  }

  /** Returns whether starts have been held back since the last call. */
  public boolean pollStartsHeld() {
    boolean wasHeld = isHeld;
    isHeld = false;
    return wasHeld;
  }

  /** Records that a start is sent. */
  public void onStartSent(String workerId, long nowMs) {
    inFlight++;
    workers.computeIfAbsent(workerId, id -> new WorkerLimit(timeoutMs)).onSent();
    occupancy.onSent(nowMs);
    link.onSent(occupancy.count());
  }

  /**
   * Records the outcome of a start.
   *
   * @param isAnswered whether the worker replied. A start that failed before its time limit, for
   *     example with its connection, says nothing about the load.
   * @return the reason in lower case if the limit of the link has fallen
   */
  public Optional<String> onStartSettled(
      String workerId, long sentAtMs, boolean isAnswered, long nowMs) {
    long replyMs = nowMs - sentAtMs;
    inFlight--;
    occupancy.onSettled(sentAtMs, isAnswered);
    WorkerLimit worker = workers.computeIfAbsent(workerId, id -> new WorkerLimit(timeoutMs));
    LinkLimit.Cut cut = LinkLimit.Cut.NONE;
    if (isAnswered) {
      lastReplyAtMs = nowMs;
      cut = link.onAnswered(workerId, replyMs, occupancy.count(), nowMs);
      worker.onAnswered(replyMs, link.delayMs(), nowMs);
    } else if (replyMs >= timeoutMs) {
      cut = link.onMissing(workerId, occupancy.count(), nowMs);
      worker.onMissing(nowMs);
    }
    worker.onSettled();
    if (cut == LinkLimit.Cut.NONE) {
      return Optional.empty();
    }
    cuts++;
    lastCut = cut;
    return Optional.of(cut.name().toLowerCase(Locale.ROOT));
  }

  /** Forgets workers that have left and to which nothing is in flight. */
  public void retainWorkers(Set<String> workerIds) {
    workers
        .entrySet()
        .removeIf(entry -> entry.getValue().isIdle() && !workerIds.contains(entry.getKey()));
  }

  /** Returns the limit and what it follows, for the log. */
  public String summary() {
    return String.format(
        Locale.ROOT,
        "start_limit=%d starts_in_flight=%d link_reply_ms=%d min_reply_ms=%d",
        link.get(),
        inFlight,
        link.delayMs(),
        link.minimumMs());
  }

  /**
   * Returns a line for the log if the limit of the link has fallen or has held starts back since
   * the last line; at most one a second.
   */
  public Optional<String> report(long nowMs) {
    if (nowMs < logAtMs || (cuts == 0 && roundsHeld == 0)) {
      return Optional.empty();
    }
    String line =
        String.format(
            Locale.ROOT,
            "%s cuts=%d last_cut=%s rounds_held=%d",
            summary(),
            cuts,
            lastCut.name().toLowerCase(Locale.ROOT),
            roundsHeld);
    logAtMs = nowMs + LOG_INTERVAL_MS;
    cuts = 0;
    roundsHeld = 0;
    lastCut = LinkLimit.Cut.NONE;
    return Optional.of(line);
  }
}
