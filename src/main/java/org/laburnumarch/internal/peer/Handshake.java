package org.laburnumarch.internal.peer;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Optional;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * One side of the handshake.
 *
 * <p>Each side proves that it has the fleet secret with an HMAC over its role, both identities and
 * both nonces. The role is included so that a proof cannot be reflected to the side that made it.
 */
abstract class Handshake {

  /** With 128 random bits, a nonce does not repeat in practice. */
  static final int NONCE_BYTES = 16;

  private static final SecureRandom SECURE_RANDOM = new SecureRandom();

  private final PeerIdentity self;
  private final PeerSecret secret;
  private final byte[] nonce;

  /**
   * The result of a received frame.
   *
   * @param reply the frame to send, if any
   * @param peer the identity of the peer; present once the handshake is complete
   */
  record FrameResult(Optional<LinkFrame> reply, Optional<PeerIdentity> peer) {}

  Handshake(PeerIdentity self, PeerSecret secret) {
    this.self = self;
    this.secret = secret;
    this.nonce = new byte[NONCE_BYTES];
    SECURE_RANDOM.nextBytes(nonce);
  }

  /** Returns the frame that this side sends before it has received one; empty if it waits. */
  abstract Optional<LinkFrame> initialFrame();

  /** Applies a received frame; a refusal ends the connection. */
  abstract Either<Refusal, FrameResult> onFrame(LinkFrame frame);

  /** Returns this daemon's identity. */
  PeerIdentity self() {
    return self;
  }

  /** Returns this side's nonce. */
  byte[] nonce() {
    return nonce;
  }

  /** Returns the HMAC that proves the given role. */
  byte[] proof(
      String role,
      PeerIdentity connecting,
      byte[] connectingNonce,
      PeerIdentity accepting,
      byte[] acceptingNonce) {
    return secret.prove(
        utf8(role),
        utf8(connecting.memberId()),
        utf8(connecting.instance()),
        connectingNonce,
        utf8(accepting.memberId()),
        utf8(accepting.instance()),
        acceptingNonce);
  }

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the refusal of a frame that is not expected at this point. */
  static Either<Refusal, FrameResult> unexpected(LinkFrame frame) {
    return refused("sent an unexpected " + frame.getClass().getSimpleName() + " frame");
  }

  /** Returns a refusal; {@code reason} continues a sentence that begins with "the peer". */
  static Either<Refusal, FrameResult> refused(String reason) {
    return Either.left(Refusal.of(ResultCode.PEER_REFUSED, "the peer " + reason));
  }
}
