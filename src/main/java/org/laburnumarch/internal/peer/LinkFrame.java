package org.laburnumarch.internal.peer;

/**
 * A handshake or heartbeat frame, which concerns one connection and is not passed on as a message.
 */
sealed interface LinkFrame {

  /** First frame of the connecting side. */
  @SuppressWarnings("ArrayRecordComponent") // Never compared.
  record Hello(PeerIdentity identity, byte[] nonce) implements LinkFrame {}

  /** Reply of the accepting side to {@link Hello}, with its proof over both nonces. */
  @SuppressWarnings("ArrayRecordComponent") // Never compared.
  record Challenge(PeerIdentity identity, byte[] nonce, byte[] proof) implements LinkFrame {}

  /** The proof of the connecting side. */
  @SuppressWarnings("ArrayRecordComponent") // Never compared.
  record Proof(byte[] proof) implements LinkFrame {}

  /** The accepting side has verified the proof; messages may follow in both directions. */
  record Welcome() implements LinkFrame {}

  /** Checks whether the connection still works; requires a {@link HeartbeatAck}. */
  record Heartbeat() implements LinkFrame {}

  /** Acknowledges a {@link Heartbeat}. */
  record HeartbeatAck() implements LinkFrame {}
}
