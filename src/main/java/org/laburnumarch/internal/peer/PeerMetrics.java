package org.laburnumarch.internal.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counters of the transport between daemons. */
final class PeerMetrics {

  private final Counter sentBytes;
  private final Counter sentMessages;
  private final Counter receivedBytes;
  private final Counter receivedMessages;
  private final Counter droppedMessages;
  private final Counter malformedFrames;
  private final Counter refusedHandshakes;
  private final Counter silentConnections;
  private final Counter openedConnections;

  /** Registers the counters under {@code peer.}. */
  PeerMetrics(MetricRegistry registry) {
    this.sentBytes = registry.counter("peer.sent.bytes");
    this.sentMessages = registry.counter("peer.sent.messages");
    this.receivedBytes = registry.counter("peer.received.bytes");
    this.receivedMessages = registry.counter("peer.received.messages");
    this.droppedMessages = registry.counter("peer.dropped.messages");
    this.malformedFrames = registry.counter("peer.malformed.frames");
    this.refusedHandshakes = registry.counter("peer.refused.handshakes");
    this.silentConnections = registry.counter("peer.silent.connections");
    this.openedConnections = registry.counter("peer.opened.connections");
  }

  /** Counts bytes written, including length prefixes. */
  void addSentBytes(int count) {
    sentBytes.inc(count);
  }

  /** Counts a message written. */
  void incrementSentMessages() {
    sentMessages.inc();
  }

  /** Counts bytes read, including length prefixes. */
  void addReceivedBytes(int count) {
    receivedBytes.inc(count);
  }

  /** Counts a message read. */
  void incrementReceivedMessages() {
    receivedMessages.inc();
  }

  /** Counts messages dropped before they were written. */
  void addDroppedMessages(int count) {
    droppedMessages.inc(count);
  }

  /** Counts a connection closed because of a malformed frame. */
  void incrementMalformedFrames() {
    malformedFrames.inc();
  }

  /** Counts a connection refused during its handshake. */
  void incrementRefusedHandshakes() {
    refusedHandshakes.inc();
  }

  /** Counts a connection closed because nothing was received in time after a heartbeat. */
  void incrementSilentConnections() {
    silentConnections.inc();
  }

  /** Counts a connection that was authenticated. */
  void incrementOpenedConnections() {
    openedConnections.inc();
  }
}
