package org.laburnumarch.internal.peer;

import io.vavr.control.Either;
import java.util.Optional;
import org.laburnumarch.Refusal;

/**
 * The connecting side of a handshake: sends Hello, verifies the peer's proof, then sends its own.
 */
final class ConnectingHandshake extends Handshake {

  private final Optional<String> expectedMemberId;
  private Optional<PeerIdentity> authenticatedPeer = Optional.empty();

  /**
   * Creates the connecting side with a new nonce.
   *
   * @param expectedMemberId the member that the peer has to be; empty if any member is accepted
   */
  ConnectingHandshake(PeerIdentity self, PeerSecret secret, Optional<String> expectedMemberId) {
    super(self, secret);
    this.expectedMemberId = expectedMemberId;
  }

  @Override
  Optional<LinkFrame> initialFrame() {
    return Optional.of(new LinkFrame.Hello(self(), nonce()));
  }

  @Override
  Either<Refusal, FrameResult> onFrame(LinkFrame frame) {
    if (frame instanceof LinkFrame.Challenge challenge && authenticatedPeer.isEmpty()) {
      return onChallenge(challenge);
    }
    if (frame instanceof LinkFrame.Welcome && authenticatedPeer.isPresent()) {
      return Either.right(new FrameResult(Optional.empty(), authenticatedPeer));
    }
    return unexpected(frame);
  }

  private Either<Refusal, FrameResult> onChallenge(LinkFrame.Challenge challenge) {
    PeerIdentity peer = challenge.identity();
    if (challenge.nonce().length != NONCE_BYTES) {
      return refused("sent a nonce of " + challenge.nonce().length + " bytes");
    }
    byte[] expected = proof("accepting", self(), nonce(), peer, challenge.nonce());
    if (!PeerSecret.isSame(expected, challenge.proof())) {
      return refused("has a different fleet secret; set the same one on all daemons");
    }
    if (peer.memberId().equals(self().memberId())) {
      return refused("is this daemon itself");
    }
    if (expectedMemberId.filter(id -> !id.equals(peer.memberId())).isPresent()) {
      return refused("is member " + peer.memberId() + " and not " + expectedMemberId.get());
    }
    authenticatedPeer = Optional.of(peer);
    byte[] ownProof = proof("connecting", self(), nonce(), peer, challenge.nonce());
    return Either.right(
        new FrameResult(Optional.of(new LinkFrame.Proof(ownProof)), Optional.empty()));
  }
}
