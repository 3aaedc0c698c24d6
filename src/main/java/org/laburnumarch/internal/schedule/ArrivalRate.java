package org.laburnumarch.internal.schedule;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Estimates the rate at which work arrives, for demand that may jump to many times its level within
 * a second. Not thread-safe; no I/O.
 *
 * <p>The estimate is the largest of the rates over windows of several lengths, each reduced by the
 * uncertainty of the number of arrivals in it. A burst of many small jobs shows in the shortest
 * window at once, while a few large jobs must arrive together before they count as a rise; neither
 * depends on how often demand has risen before.
 */
final class ArrivalRate {

  private static final long[] WINDOWS_MS = {400, 800, 2_000};
  private static final long LONGEST_WINDOW_MS = WINDOWS_MS[WINDOWS_MS.length - 1];

  /** By how many standard deviations of its number of arrivals a window's rate is reduced. */
  private static final double CAUTION = 0.8;

  /** Number of arrivals below which a window shows no rate. */
  private static final int MIN_ARRIVALS = 2;

  private record Arrival(long atMs, double work) {}

  private final Deque<Arrival> arrivals = new ArrayDeque<>();

  /**
   * Records an arrival; arrivals must be recorded in the order of their times.
   *
   * @param work amount of work, in any unit
   */
  void add(double work, long nowMs) {
    arrivals.addLast(new Arrival(nowMs, work));
    removeOld(nowMs);
  }

  private void removeOld(long nowMs) {
    while (!arrivals.isEmpty() && nowMs - arrivals.peekFirst().atMs() > LONGEST_WINDOW_MS) {
      arrivals.removeFirst();
    }
  }

  /** Returns the work that arrives per millisecond. */
  double perMs(long nowMs) {
    removeOld(nowMs);
    double highest = 0;
    double work = 0;
    int count = 0;
    Iterator<Arrival> newestFirst = arrivals.descendingIterator();
    Arrival next = newestFirst.hasNext() ? newestFirst.next() : null;
    for (long windowMs : WINDOWS_MS) {
      while (next != null && nowMs - next.atMs() <= windowMs) {
        work += next.work();
        count++;
        next = newestFirst.hasNext() ? newestFirst.next() : null;
      }
      if (count >= MIN_ARRIVALS) {
        highest = Math.max(highest, work / windowMs * (1 - CAUTION / Math.sqrt(count + 1.0)));
      }
    }
    return highest;
  }
}
