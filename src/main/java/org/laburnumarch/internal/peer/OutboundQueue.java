package org.laburnumarch.internal.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Frames that wait to be sent, bounded by total size and age. The oldest frames are dropped first.
 */
final class OutboundQueue {

  /** A frame and the time at which it was queued. */
  @SuppressWarnings("ArrayRecordComponent") // Never compared.
  private record QueuedFrame(byte[] frame, long queuedAtMs) {}

  private final int maxBytes;
  private final long maxAgeMs;
  private final Deque<QueuedFrame> frames = new ArrayDeque<>();
  private int queuedBytes;

  /** Creates an empty queue. */
  OutboundQueue(int maxBytes, long maxAgeMs) {
    this.maxBytes = maxBytes;
    this.maxAgeMs = maxAgeMs;
  }

  /** Adds a frame and returns the number of frames dropped to stay within the bounds. */
  int add(byte[] frame, long nowMs) {
    frames.addLast(new QueuedFrame(frame, nowMs));
    queuedBytes += frame.length;
    int dropped = 0;
    while (queuedBytes > maxBytes) {
      removeFirst();
      dropped++;
    }
    return dropped + dropExpired(nowMs);
  }

  /** Drops the frames that exceed the maximum age and returns their number. */
  int dropExpired(long nowMs) {
    int dropped = 0;
    while (!frames.isEmpty() && nowMs - frames.peekFirst().queuedAtMs() > maxAgeMs) {
      removeFirst();
      dropped++;
    }
    return dropped;
  }

  /** Removes and returns the oldest frame; empty if there is none. */
  Optional<byte[]> poll() {
    return frames.isEmpty() ? Optional.empty() : Optional.of(removeFirst());
  }

  private byte[] removeFirst() {
    byte[] frame = frames.removeFirst().frame();
    queuedBytes -= frame.length;
    return frame;
  }
}
