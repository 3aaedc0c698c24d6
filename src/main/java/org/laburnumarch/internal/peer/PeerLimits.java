package org.laburnumarch.internal.peer;

/**
 * Bounds on sizes and times of the transport between daemons.
 *
 * @param connectTimeoutMs how long connecting may take
 * @param handshakeTimeoutMs how long a connection may stay unauthenticated
 * @param maxUnauthenticatedCount the maximum number of accepted connections that are not yet
 *     authenticated
 * @param maxOutboundBytes the maximum number of bytes that wait for one peer; the oldest messages
 *     are dropped first
 * @param maxOutboundAgeMs how long a message may wait for a connection; older ones are dropped,
 *     since their senders repeat all messages
 * @param heartbeatTimeoutMs how long a connection may deliver no frame after a heartbeat was sent
 * @param minBackOffMs the first delay before reconnecting
 * @param maxBackOffMs the maximum delay before reconnecting
 */
public record PeerLimits(
    int connectTimeoutMs,
    long handshakeTimeoutMs,
    int maxUnauthenticatedCount,
    int maxOutboundBytes,
    long maxOutboundAgeMs,
    long heartbeatTimeoutMs,
    long minBackOffMs,
    long maxBackOffMs) {

  /** Maximum size of a frame after the handshake, in bytes. */
  public static final int MAX_FRAME_BYTES = 1 << 20;

  /** Maximum size of a frame during the handshake, in bytes: two names, a nonce and an HMAC. */
  static final int MAX_HANDSHAKE_FRAME_BYTES = 4 * FrameReader.MAX_TEXT_BYTES;

  /**
   * Default bounds. Round trips take about 2 ms, so one second is ample for connecting. A silent
   * connection is replaced within the 3 s after which a daemon loses its authority. The outbound
   * queue of a peer holds two frames of the maximum size.
   */
  public static final PeerLimits DEFAULTS =
      new PeerLimits(1_000, 2_000, 64, 2 << 20, 2_000, 1_500, 50, 2_000);
}
