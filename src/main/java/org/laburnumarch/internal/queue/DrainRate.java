package org.laburnumarch.internal.queue;

/** Measures the rate of dispatches over a sliding window. */
final class DrainRate {
  /**
   * Length of the window: long enough to average over bursts, short enough to follow the loss of a
   * data centre.
   */
  static final long WINDOW_MS = 2_000;

  private static final int BUCKETS = 20;
  private static final long BUCKET_MS = WINDOW_MS / BUCKETS;

  private final int[] counts = new int[BUCKETS];
  private long newestBucket = Long.MIN_VALUE;
  private int windowCount;

  void record(long nowMs) {
    advance(nowMs);
    counts[index(newestBucket)]++;
    windowCount++;
  }

  /** Returns the number of dispatches per millisecond. */
  double perMs(long nowMs) {
    advance(nowMs);
    return (double) windowCount / WINDOW_MS;
  }

  private void advance(long nowMs) {
    long bucket = Math.floorDiv(nowMs, BUCKET_MS);
    if (newestBucket == Long.MIN_VALUE || bucket - newestBucket >= BUCKETS) {
      java.util.Arrays.fill(counts, 0);
      windowCount = 0;
      newestBucket = bucket;
      return;
    }
    while (newestBucket < bucket) {
      newestBucket++;
      windowCount -= counts[index(newestBucket)];
      counts[index(newestBucket)] = 0;
    }
  }

  private static int index(long bucket) {
    return (int) Math.floorMod(bucket, (long) BUCKETS);
  }
}
