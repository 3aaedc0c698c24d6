package org.laburnumarch.internal.peer;

import org.laburnumarch.internal.time.MonotonicClock;

/**
 * Dependencies that all connections of a daemon share.
 *
 * @param self this daemon
 * @param secret the fleet's secret
 * @param limits bounds on sizes and times
 * @param metrics counters
 * @param clock the daemon's clock
 */
record PeerEnvironment(
    PeerIdentity self,
    PeerSecret secret,
    PeerLimits limits,
    PeerMetrics metrics,
    MonotonicClock clock) {

  /** Returns an empty queue. */
  OutboundQueue newQueue() {
    return new OutboundQueue(limits.maxOutboundBytes(), limits.maxOutboundAgeMs());
  }

  /** Adds a frame to a queue and counts the frames dropped for it. */
  void enqueue(OutboundQueue queue, byte[] frame) {
    metrics.addDroppedMessages(queue.add(frame, clock.nowMs()));
  }

  /** Returns the handler of a connection that is about to be opened. */
  PeerConnection newConnection(
      Handshake handshake, OutboundQueue queue, PeerConnection.Listener listener) {
    return new PeerConnection(handshake, queue, limits, metrics, clock, listener);
  }
}
