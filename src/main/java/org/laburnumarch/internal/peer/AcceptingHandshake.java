package org.laburnumarch.internal.peer;

import io.vavr.control.Either;
import java.util.Optional;
import org.laburnumarch.Refusal;

/**
 * The accepting side of a handshake: replies to Hello with a challenge and its proof, then verifies
 * the peer's proof.
 */
final class AcceptingHandshake extends Handshake {

  private Optional<LinkFrame.Hello> hello = Optional.empty();

  /** Creates the accepting side with a new nonce. */
  AcceptingHandshake(PeerIdentity self, PeerSecret secret) {
    super(self, secret);
  }

  @Override
  Optional<LinkFrame> initialFrame() {
    return Optional.empty();
  }

  @Override
  Either<Refusal, FrameResult> onFrame(LinkFrame frame) {
    if (frame instanceof LinkFrame.Hello received && hello.isEmpty()) {
      return onHello(received);
    }
    if (frame instanceof LinkFrame.Proof proof && hello.isPresent()) {
      return onProof(proof, hello.get());
    }
    return unexpected(frame);
  }

  private Either<Refusal, FrameResult> onHello(LinkFrame.Hello received) {
    if (received.nonce().length != NONCE_BYTES) {
      return refused("sent a nonce of " + received.nonce().length + " bytes");
    }
    if (received.identity().memberId().equals(self().memberId())) {
      return refused("is this daemon itself");
    }
    hello = Optional.of(received);
    byte[] ownProof = proof("accepting", received.identity(), received.nonce(), self(), nonce());
    return Either.right(
        new FrameResult(
            Optional.of(new LinkFrame.Challenge(self(), nonce(), ownProof)), Optional.empty()));
  }

  private Either<Refusal, FrameResult> onProof(LinkFrame.Proof proof, LinkFrame.Hello received) {
    byte[] expected = proof("connecting", received.identity(), received.nonce(), self(), nonce());
    return PeerSecret.isSame(expected, proof.proof())
        ? Either.right(
            new FrameResult(Optional.of(new LinkFrame.Welcome()), Optional.of(received.identity())))
        : refused("has a different fleet secret; set the same one on all daemons");
  }
}
