package org.laburnumarch.internal.peer;

/**
 * Receives messages and connection events from peers. Called on the transport's thread;
 * implementations must not block.
 */
@FunctionalInterface
public interface PeerListener {

  /**
   * A message arrived.
   *
   * @param memberId the authenticated sender
   */
  void onMessage(String memberId, PeerMessage message);

  /** The first connection to or from a member is authenticated. */
  default void onConnected(String memberId) {}

  /** The last connection to and from a member is closed. */
  default void onDisconnected(String memberId) {}
}
